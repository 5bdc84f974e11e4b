"""Tests of the subcommands for the platform."""

import contextlib
import io
import json
import pathlib
import shutil
import tempfile
import unittest

from godwitturn.cli import exit_codes
from godwitturn.cli import main
from godwitturn.standins import platform_store
from godwitturn.tests import program_case
from godwitturn.tests import test_platform_settings

ROOT = pathlib.Path(__file__).parents[2]
ExitCode = exit_codes.ExitCode


def run(*arguments: str) -> tuple[int, str, str]:
    """Runs a subcommand in this process.

    Returns:
        Exit status, standard output and standard error.
    """
    out, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
        code = main.run(arguments)
    return code, out.getvalue(), errors.getvalue()


class TestCheckDeployment(unittest.TestCase):
    """Faults in the deploy file, its template and settings must be named."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deploy = pathlib.Path(directory.name) / "deploy"
        shutil.copytree(ROOT / "deploy", self.deploy)
        self.file = self.deploy / "system.toml"

    def test_deploy_file_of_the_repository_has_no_faults(self) -> None:
        code, out, _ = run("check-deployment", "--file", str(self.file))
        self.assertEqual((ExitCode.DONE, "no faults\n"), (code, out))

    def test_each_fault_names_the_value_and_what_is_allowed(self) -> None:
        text = self.file.read_text()
        text = text.replace('on = "side"', 'on = "beside"')
        text = text.replace('metrics = "9464/metrics"', 'metrics = "1/x"')
        text = text.replace("start.pyc agent", "start.pyc angel")
        self.file.write_text(text)
        (self.deploy / "settings.json.tmpl").unlink()
        code, _, errors = run("check-deployment", "--file", str(self.file))
        self.assertEqual(ExitCode.REFUSED, code)
        for message in (
            "on is 'beside'; allowed: edge, side",
            "metrics is '1/x'; allowed: '9464/metrics'",
            "must end with one of agent, balancer",
            "template is 'deploy/settings.json.tmpl'; no such file",
        ):
            self.assertIn(message, errors)

    def test_file_that_is_not_toml_is_refused(self) -> None:
        self.file.write_bytes(b"\xff")
        code, out, _ = run(
            "check-deployment", "--file", str(self.file), "--json"
        )
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertEqual(1, len(json.loads(out)["errors"]))

    def test_settings_faults_and_a_refusing_store_are_named(self) -> None:
        store = platform_store.PlatformStore(("127.0.0.1", 0))
        self.addCleanup(store.server_close)
        self.addCleanup(store.shutdown)
        address = f"127.0.0.1:{store.server_address[1]}"
        fields = test_platform_settings.fields(platform={"address": address})
        path = self.deploy / "boot.json"
        path.write_text(json.dumps(fields))
        arguments = (
            "check-deployment",
            "--file",
            str(self.file),
            "--settings",
            str(path),
        )
        self.assertEqual(ExitCode.DONE, run(*arguments)[0])
        store.is_unavailable = True
        code, _, errors = run(*arguments)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn(f"store at {address}: refused", errors)
        path.write_text(json.dumps({**fields, "zone": 7}))
        self.assertIn("zone is 7; expected str", run(*arguments)[2])


class TestBeliefs(program_case.ProgramCase):
    """The states of daemons must be shown, and unreachable ones named."""

    def test_states_are_shown_as_tables_and_as_json(self) -> None:
        self.start_both()
        self.send_heartbeat()
        self.open_flow()
        code, out, _ = run(
            "beliefs", self.balancer_address, self.agent_address
        )
        self.assertEqual(ExitCode.DONE, code)
        self.assertIn("SILENT S", out)
        self.assertIn("INCARNATION", out)
        _, out, _ = run("beliefs", self.balancer_address, "--json")
        state = json.loads(out)["daemons"][self.balancer_address]
        self.assertEqual(1, state["targets"][self.agent_address]["flows_here"])

    def test_daemon_that_does_not_answer_is_named(self) -> None:
        code, _, errors = run("beliefs", self.client_address)
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn(self.client_address, errors)
