"""Runs the command line as processes against the store stand-in."""

from collections.abc import Callable
import contextlib
import io
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
import unittest

import attrs
import httpx

from godwitturn.cli import main
from godwitturn.core import documents
from godwitturn.standins import deployments
from godwitturn.standins import processes

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
DEPLOYMENT = deployments.KOLKATA
TIMEOUT_S = 120.0


def _restore_sigint_handler() -> None:
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def operator_settings_text(store_url: str, team: str) -> str:
    teams = "\n".join(
        f'{name} = "{bytes(key.verify_key).hex()}"'
        for name, key in deployments.signing_keys(DEPLOYMENT).items()
    )
    return f"""
deployment = "{DEPLOYMENT.name}"
[store]
endpoints = ["{store_url}"]
[teams]
{teams}
[team]
name = "{team}"
signing_key_file = "{team}.key"
"""


def inventory_text(members: list[documents.Member]) -> str:
    lines = ["name,kind,service,data_centre,public_key,weight"]
    lines += [
        f"{member.name},{member.kind},{member.service},{member.data_centre},"
        f"{member.public_key.hex()},{member.weight}"
        for member in members
    ]
    return "\n".join(lines) + "\n"


def all_members() -> list[documents.Member]:
    specs = deployments.balancer_specs(DEPLOYMENT)
    specs += deployments.target_specs(DEPLOYMENT)
    return [spec.member() for spec in specs]


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"the condition did not hold within {TIMEOUT_S} s"
            )
        time.sleep(0.02)


@attrs.frozen
class CommandResult:
    """Exit code and output of a subcommand."""

    exit_code: int
    stdout: str
    stderr: str

    @property
    def values(self) -> Any:
        """The JSON object that the subcommand printed."""
        return json.loads(self.stdout)


def command_line(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "godwitturn", *arguments]


def run(*arguments: str) -> CommandResult:
    """Runs a subcommand as a process."""
    completed = subprocess.run(
        command_line(*arguments),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    return CommandResult(
        completed.returncode, completed.stdout, completed.stderr
    )


class StoreTestCase(unittest.TestCase):
    """Starts a store for each test and applies the rules of kolkata."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        table = processes.ProcessTable(self.directory)
        self.addCleanup(table.kill_all)
        store = table.start(
            "store", ["godwitturn.standins.store", "--port", "0"]
        )
        self.store_url = f"http://127.0.0.1:{store.wait_ready()}"
        for team, key in deployments.signing_keys(DEPLOYMENT).items():
            text = operator_settings_text(self.store_url, team)
            (self.directory / f"{team}.toml").write_text(text)
            secret = self.directory / f"{team}.key"
            secret.write_text(bytes(key).hex())
            secret.chmod(0o600)
        rules = str(EXAMPLES / "kolkata-rules.toml")
        self.assertEqual(0, self.cli("apply", rules).exit_code)

    def with_settings(
        self, *arguments: str, team: str = "licensing"
    ) -> list[str]:
        """Returns the arguments with the option for a team's settings."""
        file = str(self.directory / f"{team}.toml")
        return [*arguments, "--settings", file]

    def cli(self, *arguments: str, team: str = "licensing") -> CommandResult:
        return run(*self.with_settings(*arguments, team=team))

    def start(self, *arguments: str) -> subprocess.Popen[str]:
        popen = subprocess.Popen(
            command_line(*self.with_settings(*arguments)),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            # A test run that was started in the background ignores SIGINT,
            # which its child processes would inherit.
            preexec_fn=_restore_sigint_handler,
        )
        self.addCleanup(popen.communicate)
        self.addCleanup(popen.kill)
        return popen

    def write(self, name: str, text: str) -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def import_all(self) -> None:
        file = self.write("all.csv", inventory_text(all_members()))
        result = self.cli("import-inventory", file, "--apply")
        self.assertEqual(0, result.exit_code, result)

    def set_faults(self, **values: Any) -> None:
        response = httpx.post(f"{self.store_url}/standin/faults", json=values)
        response.raise_for_status()

    def read_count(self) -> int:
        """Returns how many reads the store has served."""
        response = httpx.get(f"{self.store_url}/standin/counts")
        return int(response.json().get("range", 0))

    def run_in_process(self, *arguments: str) -> Any:
        """Returns the JSON values of a subcommand that only reads.

        The subcommand runs in the process of the test, which is faster.
        """
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = main.run(self.with_settings(*arguments, "--json"))
        self.assertEqual(0, code, out.getvalue())
        return json.loads(out.getvalue())

    def configuration(self) -> Any:
        return self.run_in_process("show")

    def member_by_name(self) -> dict[str, Any]:
        values = self.run_in_process("members")
        return {member["name"]: member for member in values["members"]}
