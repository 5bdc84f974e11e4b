"""Tests of the command line, run as processes against a store stand-in."""

import contextlib
import io
import json
import pathlib
import re
import signal
import socket
import stat
import subprocess
import sys
import tempfile
import unittest

import attrs

from godwitturn.cli import exit_codes
from godwitturn.cli import main
from godwitturn.standins import deployments
from godwitturn.standins import processes
from godwitturn.tests import cli_fixtures

DOCS = pathlib.Path(__file__).parents[2] / "docs" / "cli.md"
ExitCode = exit_codes.ExitCode


class TestImport(cli_fixtures.StoreTestCase):
    """An import must make exactly the changes that it shows."""

    def test_import_changes_only_on_apply_and_only_once(self) -> None:
        members = cli_fixtures.all_members()
        file = self.write("a.csv", cli_fixtures.inventory_text(members))
        preview = self.cli("import-inventory", file)
        self.assertEqual(ExitCode.DONE, preview.exit_code)
        self.assertIn("+ permit-desk-2", preview.stdout)
        self.assertIn("nothing was changed", preview.stdout)
        self.assertEqual({}, self.member_by_name())
        applied = self.cli("import-inventory", file, "--apply", "--json")
        self.assertEqual(ExitCode.DONE, applied.exit_code)
        verdicts = {c["verdict"] for c in applied.values["changes"]}
        self.assertEqual({"took_effect"}, verdicts)
        imported = self.member_by_name()
        self.assertEqual({member.name for member in members}, set(imported))
        repeated = self.cli("import-inventory", file, "--apply")
        self.assertIn("nothing to change", repeated.stdout)

    def test_bad_rows_change_nothing(self) -> None:
        """Guards against a file that is imported in part."""
        self.import_all()
        before = self.configuration()
        members = cli_fixtures.all_members()
        members[0] = attrs.evolve(members[0], weight=2.0)
        members[5] = attrs.evolve(members[5], service="permit-dsk")
        members[6] = attrs.evolve(members[6], weight=3.0)
        text = cli_fixtures.inventory_text(members)
        file = self.write("bad.csv", text)
        result = self.cli("import-inventory", file, "--apply")
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn("line 2: weight: '2.0'", result.stderr)
        self.assertIn("line 7: service: 'permit-dsk'", result.stderr)
        self.assertIn("one of onboard-core, permit-desk", result.stderr)
        self.assertEqual(before, self.configuration())

    def test_mass_departure_needs_an_option(self) -> None:
        """Guards against a truncated file that removes most members."""
        self.import_all()
        kept = cli_fixtures.all_members()[:5]
        file = self.write("cut.csv", cli_fixtures.inventory_text(kept))
        arguments = ("import-inventory", file, "--apply")
        before = self.configuration()
        self.assertEqual(ExitCode.REFUSED, self.cli(*arguments).exit_code)
        self.assertEqual(before, self.configuration())
        result = self.cli(*arguments, "--allow-mass-departure")
        self.assertEqual(ExitCode.DONE, result.exit_code, result)
        departed = [
            name
            for name, member in self.member_by_name().items()
            if member["departed"]
        ]
        self.assertEqual(8, len(departed))
        self.check_repeated_import_is_refused()

    def check_repeated_import_is_refused(self) -> None:
        """Guards against departed members that are listed again."""
        file = str(self.directory / "all.csv")
        result = self.cli("import-inventory", file, "--apply")
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertEqual(8, result.stderr.count("has departed"))


class TestApprovals(cli_fixtures.StoreTestCase):
    """A member needs the approval of every team, made with its own key."""

    def test_member_is_approved_by_all_teams_until_withdrawal(self) -> None:
        self.import_all()
        name = "onboard-core-3"
        result = self.cli("approve", name)
        self.assertEqual(ExitCode.DONE, result.exit_code, result)
        member = self.member_by_name()[name]
        self.assertEqual(["operations"], member["missing"])
        self.assertEqual("waiting", member["state"])
        result = self.cli("approve", "--all-waiting", team="operations")
        self.assertEqual(ExitCode.DONE, result.exit_code, result)
        member_by_name = self.member_by_name()
        self.assertEqual("approved", member_by_name[name]["state"])
        self.assertEqual(
            ["licensing"], member_by_name["onboard-core-4"]["missing"]
        )
        result = self.cli("withdraw", name, team="operations")
        self.assertEqual(ExitCode.DONE, result.exit_code, result)
        member = self.member_by_name()[name]
        self.assertEqual(["licensing"], member["approved_by"])
        self.assertEqual(["operations"], member["withdrawn_by"])
        self.assertEqual([], member["unverified_withdrawals"])
        # After its withdrawal, a team must name the member to approve it.
        result = self.cli("approve", "--all-waiting", team="operations")
        self.assertEqual(ExitCode.DONE, result.exit_code, result)
        self.assertEqual("waiting", self.member_by_name()[name]["state"])
        result = self.cli("approve", name, team="operations")
        self.assertEqual(ExitCode.DONE, result.exit_code, result)
        self.assertEqual("approved", self.member_by_name()[name]["state"])

    def test_key_of_another_team_is_refused(self) -> None:
        """Guards against storing approvals that no daemon would accept."""
        self.import_all()
        other = (self.directory / "operations.key").read_text()
        self.write("licensing.key", other)
        result = self.cli("approve", "onboard-core-0")
        self.assertEqual(ExitCode.USAGE, result.exit_code)
        self.assertIn("the key of team licensing", result.stderr)
        self.assertNotIn(other, result.stderr)

    def test_unknown_member_changes_nothing(self) -> None:
        """Guards against approving only some of the named members."""
        self.import_all()
        before = self.configuration()
        result = self.cli("approve", "onboard-core-0", "onboard-core-9")
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn("'onboard-core-9'", result.stderr)
        self.assertIn("onboard-core-6", result.stderr)
        self.assertEqual(before, self.configuration())


class TestDrainsAndRules(cli_fixtures.StoreTestCase):
    """Draining, data centres and rules must change exactly as requested."""

    def test_drain_holds_until_undrain_and_repeats_write_nothing(self) -> None:
        self.import_all()
        result = self.cli("drain", "permit-desk-1", "onboard-core-0")
        self.assertEqual(ExitCode.DONE, result.exit_code, result)
        self.assertEqual(2, result.stdout.count("took effect"))
        self.assertTrue(self.member_by_name()["permit-desk-1"]["draining"])
        version = self.configuration()["version"]
        repeated = self.cli("drain", "permit-desk-1")
        self.assertIn("nothing was written", repeated.stdout)
        self.assertEqual(version, self.configuration()["version"])
        self.assertEqual(0, self.cli("undrain", "permit-desk-1").exit_code)
        self.assertFalse(self.member_by_name()["permit-desk-1"]["draining"])

    def test_data_centre_stays_out_until_it_is_brought_in(self) -> None:
        self.assertEqual(0, self.cli("data-centre-out", "howrah").exit_code)
        self.assertEqual(["howrah"], self.configuration()["rules"]["out"])
        rules = str(cli_fixtures.EXAMPLES / "kolkata-rules.toml")
        self.assertEqual("no difference\n", self.cli("diff", rules).stdout)
        result = self.cli("data-centre-in", "hawrah")
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn("'hawrah'", result.stderr)
        self.assertIn("howrah, salt-lake, durgapur", result.stderr)
        self.assertEqual(0, self.cli("data-centre-in", "howrah").exit_code)
        self.assertEqual([], self.configuration()["rules"]["out"])

    def test_rules_file_with_one_bad_value_changes_nothing(self) -> None:
        """Guards against services that are applied without their rules."""
        before = self.configuration()
        text = (cli_fixtures.EXAMPLES / "kolkata-rules.toml").read_text()
        text = text.replace("slots = 1", "slots = 2")
        bad = text.replace('"permit-desk"]]', '"styledesk"]]')
        result = self.cli("apply", self.write("bad.toml", bad))
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn("styledesk", result.stderr)
        self.assertEqual(before, self.configuration())
        file = self.write("good.toml", text)
        self.assertIn("slots: 1 -> 2", self.cli("diff", file).stdout)
        self.assertEqual(ExitCode.DONE, self.cli("apply", file).exit_code)
        slots = {
            service["slots"] for service in self.configuration()["services"]
        }
        self.assertEqual({2}, slots)


class TestConcurrentChanges(cli_fixtures.StoreTestCase):
    """Of two concurrent changes of one document, exactly one must succeed."""

    def _run_concurrently(self, *changes: tuple[str, ...]) -> list[int]:
        # Writes wait until both processes have read the same revision.
        self.set_faults(delayed_writes=1_000_000, write_delay_seconds=600.0)
        reads = self.read_count()
        popens = [
            self.start(*arguments, "--timeout", "100", "--json")
            for arguments in changes
        ]
        cli_fixtures.wait_until(
            lambda: self.read_count() >= reads + len(popens)
        )
        self.set_faults(delayed_writes=0)
        return [popen.wait(cli_fixtures.TIMEOUT_S) for popen in popens]

    def test_one_of_two_equal_concurrent_changes_conflicts(self) -> None:
        arguments = ("data-centre-out", "howrah")
        codes = self._run_concurrently(arguments, arguments)
        self.assertEqual([ExitCode.DONE, ExitCode.CONFLICT], sorted(codes))
        self.assertEqual(["howrah"], self.configuration()["rules"]["out"])

    def test_one_of_two_different_concurrent_changes_conflicts(self) -> None:
        """Guards against a change that silently undoes another."""
        names = ("howrah", "salt-lake")
        codes = self._run_concurrently(
            *(("data-centre-out", name) for name in names)
        )
        self.assertEqual([ExitCode.DONE, ExitCode.CONFLICT], sorted(codes))
        applied_name = names[codes.index(ExitCode.DONE)]
        self.assertEqual([applied_name], self.configuration()["rules"]["out"])


class TestLostAnswers(cli_fixtures.StoreTestCase):
    """After a lost answer of the store, the true outcome must be reported."""

    def test_outcome_found_by_the_same_call(self) -> None:
        for fault, verb in (("lost_answers", "out"), ("lost_requests", "in")):
            version = self.configuration()["version"]
            self.set_faults(**{fault: 1})
            result = self.cli(f"data-centre-{verb}", "howrah", "--json")
            self.assertEqual(ExitCode.DONE, result.exit_code, (fault, result))
            self.assertTrue(result.values["changes"][0]["written"])
            self.assertEqual(version + 1, self.configuration()["version"])

    def test_outcome_found_by_a_repeated_call(self) -> None:
        """Guards against reporting a change that took effect as failed."""
        for fault, verb in (("lost_answers", "out"), ("lost_requests", "in")):
            version = self.configuration()["version"]
            arguments = (f"data-centre-{verb}", "howrah", "--json")
            self.set_faults(**{fault: 1_000_000})
            result = self.cli(*arguments, "--timeout", "1.5")
            self.set_faults(**{fault: 0})
            self.assertEqual(
                ExitCode.MAY_HAVE, result.exit_code, (fault, result)
            )
            operation_id = result.values["operation_id"]
            repeated_arguments = (*arguments, "--operation-id", operation_id)
            for _ in range(2):
                result = self.cli(*repeated_arguments)
                self.assertEqual(
                    ExitCode.DONE, result.exit_code, (fault, result)
                )
            self.assertEqual(version + 1, self.configuration()["version"])

    def test_repeat_does_not_undo_a_later_change(self) -> None:
        """Guards against a repeated call that makes its change again."""
        arguments = ("data-centre-out", "howrah", "--operation-id", "change-1")
        self.assertEqual(0, self.cli(*arguments).exit_code)
        self.assertEqual(0, self.cli("data-centre-in", "howrah").exit_code)
        self.assertEqual(0, self.cli(*arguments).exit_code)
        self.assertEqual([], self.configuration()["rules"]["out"])

    def test_interrupted_change_is_reported_as_possibly_made(self) -> None:
        """Guards against reporting an interrupted change as not made."""
        self.set_faults(delayed_writes=1, write_delay_seconds=600.0)
        reads = self.read_count()
        arguments = ("data-centre-out", "howrah", "--json", "--timeout", "100")
        popen = self.start(*arguments)
        cli_fixtures.wait_until(lambda: self.read_count() > reads)
        popen.send_signal(signal.SIGINT)
        out, error = popen.communicate(timeout=cli_fixtures.TIMEOUT_S)
        self.assertEqual(ExitCode.MAY_HAVE, popen.returncode, error)
        operation_id = json.loads(out)["operation_id"]
        repeated_arguments = (*arguments, "--operation-id", operation_id)
        self.assertEqual(
            ExitCode.DONE, self.cli(*repeated_arguments).exit_code
        )
        self.assertEqual(["howrah"], self.configuration()["rules"]["out"])

    def test_unreachable_store_has_its_own_exit_code(self) -> None:
        self.set_faults(down=True)
        arguments = ("data-centre-out", "howrah", "--timeout", "1")
        self.assertEqual(ExitCode.UNREACHABLE, self.cli(*arguments).exit_code)
        self.assertEqual(ExitCode.UNREACHABLE, self.cli("members").exit_code)
        # An earlier attempt with this id may have taken effect.
        result = self.cli(*arguments, "--operation-id", "change-1")
        self.assertEqual(ExitCode.MAY_HAVE, result.exit_code)


class TestUsage(unittest.TestCase):
    """A usage error must not have the status of a change without effect."""

    def test_unknown_subcommands_and_options_are_usage_errors(self) -> None:
        for arguments in ((), ("drian", "x"), ("drain", "x", "--forse")):
            result = cli_fixtures.run(*arguments)
            self.assertEqual(ExitCode.USAGE, result.exit_code, result)

    def test_settings_fault_names_the_file_or_the_key(self) -> None:
        result = cli_fixtures.run("show", "--settings", "/nowhere.toml")
        self.assertEqual(ExitCode.USAGE, result.exit_code)
        self.assertIn("/nowhere.toml", result.stderr)
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "operator.toml")
            text = cli_fixtures.operator_settings_text(
                "ftp://store", "accounting"
            )
            path.write_text(text)
            arguments = ("show", "--settings", str(path))
            result = cli_fixtures.run(*arguments, "--json")
        self.assertEqual(ExitCode.USAGE, result.exit_code)
        (error,) = result.values["errors"]
        self.assertEqual("store.endpoints[0]", error["key"])
        self.assertEqual("'ftp://store'", error["value"])

    def test_every_subcommand_has_help_with_an_example(self) -> None:
        for name in main.COMMANDS:
            out = io.StringIO()
            with (
                contextlib.redirect_stdout(out),
                self.assertRaises(SystemExit) as raised,
            ):
                main.run([name, "--help"])
            self.assertEqual(0, raised.exception.code)
            self.assertRegex(out.getvalue(), rf"\n    godwitturn {name} ?")

    def test_address_in_use_is_named(self) -> None:
        """Guards against a daemon that ends without naming the address."""
        deployment = cli_fixtures.DEPLOYMENT
        spec = deployments.balancer_specs(deployment)[0]
        with (
            tempfile.TemporaryDirectory() as directory,
            socket.socket() as listener,
        ):
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            for listener_role in ("control", "admin"):
                free = f"127.0.0.1:{processes.free_port()}"
                path = pathlib.Path(directory, f"{listener_role}.toml")
                deployments.write_balancer_settings(
                    path,
                    deployment,
                    spec,
                    store_url="http://127.0.0.1:1",
                    caller_address="127.0.0.1:0",
                    control_address=address
                    if listener_role == "control"
                    else free,
                    seeds={},
                    admin_address=address
                    if listener_role == "admin"
                    else free,
                )
                result = cli_fixtures.run("run-balancer", str(path))
                self.assertEqual(ExitCode.USAGE, result.exit_code, result)
                self.assertIn(address, result.stderr)

    def test_settings_of_another_role_are_refused(self) -> None:
        text = (cli_fixtures.EXAMPLES / "perth-agent.toml").read_text()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "agent.toml")
            path.write_text(text)
            path.chmod(0o600)
            result = cli_fixtures.run("run-balancer", str(path))
        self.assertEqual(ExitCode.USAGE, result.exit_code)
        self.assertIn("[balancer]", result.stderr)


class TestDocumentation(unittest.TestCase):
    """The documentation must list the exit codes and subcommands."""

    def test_page_lists_all_exit_codes(self) -> None:
        rows = re.findall(r"^\| (\d) \| `(\w+)` \|", DOCS.read_text(), re.M)
        in_code = [(str(int(code)), code.name) for code in ExitCode]
        self.assertEqual(in_code, rows)

    def test_page_lists_all_subcommands(self) -> None:
        rows = re.findall(r"^\| `godwitturn ([\w-]+)", DOCS.read_text(), re.M)
        self.assertEqual(list(main.COMMANDS), rows)


class TestLoadedModules(unittest.TestCase):
    """A process must not load libraries that only other processes use."""

    def test_command_line_loads_no_large_library(self) -> None:
        unwanted = "{'httpx', 'starlette', 'hypercorn', 'zmq', 'hdrh'}"
        code = (
            "import sys, godwitturn.cli.main; "
            f"print(sorted({unwanted} & set(sys.modules)))"
        )
        result = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        self.assertEqual("[]\n", result.stdout, result.stderr)

    def test_daemons_load_no_library_of_the_command_line(self) -> None:
        """Guards against 5 MB of unused libraries in daemons of 32 MB."""
        unwanted = "{'defopt', 'docutils', 'starlette', 'hypercorn'}"
        code = (
            "import sys, godwitturn.daemons.agent, "
            "godwitturn.daemons.balancer; "
            f"print(sorted({unwanted} & set(sys.modules)))"
        )
        result = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        self.assertEqual("[]\n", result.stdout, result.stderr)


class TestKeygen(unittest.TestCase):
    """A secret key must be private and never be overwritten."""

    def test_secret_key_is_private_and_not_overwritten(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "team.key")
            arguments = ("keygen", "team", str(path), "--json")
            result = cli_fixtures.run(*arguments)
            self.assertEqual(ExitCode.DONE, result.exit_code)
            secret = path.read_text()
            self.assertNotIn(secret.strip(), result.stdout)
            self.assertEqual(0o600, stat.S_IMODE(path.stat().st_mode))
            self.assertEqual(
                ExitCode.USAGE, cli_fixtures.run(*arguments).exit_code
            )
            self.assertEqual(secret, path.read_text())
