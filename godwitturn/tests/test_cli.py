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
    """An import must show what it does and do exactly that."""

    def test_shown_then_applied_then_nothing(self) -> None:
        members = cli_fixtures.all_members()
        file = self.write("a.csv", cli_fixtures.inventory_text(members))
        shown = self.cli("import-inventory", file)
        self.assertEqual(ExitCode.DONE, shown.exit_code)
        self.assertIn("+ permit-desk-2", shown.stdout)
        self.assertIn("nothing was changed", shown.stdout)
        self.assertEqual({}, self.members_by_name())
        applied = self.cli("import-inventory", file, "--apply", "--json")
        self.assertEqual(ExitCode.DONE, applied.exit_code)
        verdicts = {c["verdict"] for c in applied.values["changes"]}
        self.assertEqual({"took_effect"}, verdicts)
        found = self.members_by_name()
        self.assertEqual({member.name for member in members}, set(found))
        again = self.cli("import-inventory", file, "--apply")
        self.assertIn("nothing to change", again.stdout)

    def test_bad_rows_change_nothing(self) -> None:
        """Guards against half of a file on the store."""
        self.import_all()
        before = self.shown()
        members = cli_fixtures.all_members()
        members[0] = attrs.evolve(members[0], weight=2.0)
        members[5] = attrs.evolve(members[5], service="permit-dsk")
        members[6] = attrs.evolve(members[6], weight=3.0)
        text = cli_fixtures.inventory_text(members)
        file = self.write("bad.csv", text)
        ended = self.cli("import-inventory", file, "--apply")
        self.assertEqual(ExitCode.REFUSED, ended.exit_code)
        self.assertIn("line 2: weight: '2.0'", ended.stderr)
        self.assertIn("line 7: service: 'permit-dsk'", ended.stderr)
        self.assertIn("one of onboard-core, permit-desk", ended.stderr)
        self.assertEqual(before, self.shown())

    def test_mass_departure_needs_an_option(self) -> None:
        """Guards against a truncated export."""
        self.import_all()
        kept = cli_fixtures.all_members()[:5]
        file = self.write("cut.csv", cli_fixtures.inventory_text(kept))
        words = ("import-inventory", file, "--apply")
        before = self.shown()
        self.assertEqual(ExitCode.REFUSED, self.cli(*words).exit_code)
        self.assertEqual(before, self.shown())
        ended = self.cli(*words, "--allow-mass-departure")
        self.assertEqual(ExitCode.DONE, ended.exit_code, ended)
        departed = [
            name
            for name, member in self.members_by_name().items()
            if member["departed"]
        ]
        self.assertEqual(8, len(departed))
        self.import_again_is_refused()

    def import_again_is_refused(self) -> None:
        """Guards against departed ids that are listed again."""
        file = str(self.directory / "all.csv")
        ended = self.cli("import-inventory", file, "--apply")
        self.assertEqual(ExitCode.REFUSED, ended.exit_code)
        self.assertEqual(8, ended.stderr.count("has departed"))


class TestApprovals(cli_fixtures.StoreTestCase):
    """Each team's approval must be its own, and all must be needed."""

    def test_both_teams_then_one_withdraws(self) -> None:
        self.import_all()
        name = "onboard-core-3"
        ended = self.cli("approve", name)
        self.assertEqual(ExitCode.DONE, ended.exit_code, ended)
        member = self.members_by_name()[name]
        self.assertEqual(["operations"], member["missing"])
        self.assertEqual("waiting", member["state"])
        ended = self.cli("approve", "--all-waiting", team="operations")
        self.assertEqual(ExitCode.DONE, ended.exit_code, ended)
        found = self.members_by_name()
        self.assertEqual("approved", found[name]["state"])
        self.assertEqual(["licensing"], found["onboard-core-4"]["missing"])
        ended = self.cli("withdraw", name, team="operations")
        self.assertEqual(ExitCode.DONE, ended.exit_code, ended)
        member = self.members_by_name()[name]
        self.assertEqual(["licensing"], member["approved_by"])
        self.assertEqual(["operations"], member["withdrawn_by"])
        self.assertEqual([], member["unverified_withdrawals"])
        # A team that withdrew has to name the member to approve it again.
        ended = self.cli("approve", "--all-waiting", team="operations")
        self.assertEqual(ExitCode.DONE, ended.exit_code, ended)
        self.assertEqual("waiting", self.members_by_name()[name]["state"])
        ended = self.cli("approve", name, team="operations")
        self.assertEqual(ExitCode.DONE, ended.exit_code, ended)
        self.assertEqual("approved", self.members_by_name()[name]["state"])

    def test_key_of_another_team(self) -> None:
        """Guards against approvals that no daemon would accept."""
        self.import_all()
        other = (self.directory / "operations.key").read_text()
        self.write("licensing.key", other)
        ended = self.cli("approve", "onboard-core-0")
        self.assertEqual(ExitCode.USAGE, ended.exit_code)
        self.assertIn("the key of team licensing", ended.stderr)
        self.assertNotIn(other, ended.stderr)

    def test_unknown_member_changes_nothing(self) -> None:
        """Guards against part of a list that is approved."""
        self.import_all()
        before = self.shown()
        ended = self.cli("approve", "onboard-core-0", "onboard-core-9")
        self.assertEqual(ExitCode.REFUSED, ended.exit_code)
        self.assertIn("'onboard-core-9'", ended.stderr)
        self.assertIn("onboard-core-6", ended.stderr)
        self.assertEqual(before, self.shown())


class TestMarks(cli_fixtures.StoreTestCase):
    """Drains and data centres must change as told, and only once."""

    def test_drain_and_undrain(self) -> None:
        self.import_all()
        ended = self.cli("drain", "permit-desk-1", "onboard-core-0")
        self.assertEqual(ExitCode.DONE, ended.exit_code, ended)
        self.assertEqual(2, ended.stdout.count("took effect"))
        self.assertTrue(self.members_by_name()["permit-desk-1"]["draining"])
        version = self.shown()["version"]
        again = self.cli("drain", "permit-desk-1")
        self.assertIn("nothing was written", again.stdout)
        self.assertEqual(version, self.shown()["version"])
        self.assertEqual(0, self.cli("undrain", "permit-desk-1").exit_code)
        self.assertFalse(self.members_by_name()["permit-desk-1"]["draining"])

    def test_data_centre_out_and_in(self) -> None:
        self.assertEqual(0, self.cli("data-centre-out", "howrah").exit_code)
        self.assertEqual(["howrah"], self.shown()["rules"]["out"])
        rules = str(cli_fixtures.EXAMPLES / "kolkata-rules.toml")
        self.assertEqual("no difference\n", self.cli("diff", rules).stdout)
        ended = self.cli("data-centre-in", "hawrah")
        self.assertEqual(ExitCode.REFUSED, ended.exit_code)
        self.assertIn("'hawrah'", ended.stderr)
        self.assertIn("howrah, salt-lake, durgapur", ended.stderr)
        self.assertEqual(0, self.cli("data-centre-in", "howrah").exit_code)
        self.assertEqual([], self.shown()["rules"]["out"])

    def test_rules_file_with_one_bad_value(self) -> None:
        """Guards against services applied without their rules."""
        before = self.shown()
        text = (cli_fixtures.EXAMPLES / "kolkata-rules.toml").read_text()
        text = text.replace("slots = 1", "slots = 2")
        bad = text.replace('"permit-desk"]]', '"styledesk"]]')
        ended = self.cli("apply", self.write("bad.toml", bad))
        self.assertEqual(ExitCode.REFUSED, ended.exit_code)
        self.assertIn("styledesk", ended.stderr)
        self.assertEqual(before, self.shown())
        file = self.write("good.toml", text)
        self.assertIn("slots: 1 -> 2", self.cli("diff", file).stdout)
        self.assertEqual(ExitCode.DONE, self.cli("apply", file).exit_code)
        slots = {found["slots"] for found in self.shown()["services"]}
        self.assertEqual({2}, slots)


class TestRace(cli_fixtures.StoreTestCase):
    """Of two operators who change one document, exactly one must win."""

    def _race(self, *changes: tuple[str, ...]) -> list[int]:
        # Writes wait until both processes have read the same revision.
        self.faults(delayed_writes=1_000_000, write_delay_seconds=600.0)
        reads = self.reads()
        racers = [
            self.start(*words, "--timeout", "100", "--json")
            for words in changes
        ]
        cli_fixtures.wait_until(lambda: self.reads() >= reads + len(racers))
        self.faults(delayed_writes=0)
        return [racer.wait(cli_fixtures.TIMEOUT_S) for racer in racers]

    def test_one_change_twice(self) -> None:
        words = ("data-centre-out", "howrah")
        codes = self._race(words, words)
        self.assertEqual([ExitCode.DONE, ExitCode.CONFLICT], sorted(codes))
        self.assertEqual(["howrah"], self.shown()["rules"]["out"])

    def test_two_changes_of_one_document(self) -> None:
        """Guards against a change that silently undoes another."""
        names = ("howrah", "salt-lake")
        codes = self._race(*(("data-centre-out", name) for name in names))
        self.assertEqual([ExitCode.DONE, ExitCode.CONFLICT], sorted(codes))
        winner = names[codes.index(ExitCode.DONE)]
        self.assertEqual([winner], self.shown()["rules"]["out"])


class TestLostAnswers(cli_fixtures.StoreTestCase):
    """A lost answer must end in the truth about the change."""

    def test_settled_within_the_call(self) -> None:
        for fault, verb in (("lost_answers", "out"), ("lost_requests", "in")):
            version = self.shown()["version"]
            self.faults(**{fault: 1})
            ended = self.cli(f"data-centre-{verb}", "howrah", "--json")
            self.assertEqual(ExitCode.DONE, ended.exit_code, (fault, ended))
            self.assertTrue(ended.values["changes"][0]["written"])
            self.assertEqual(version + 1, self.shown()["version"])

    def test_settled_by_a_repeat(self) -> None:
        """Guards against `no effect` for a change that took effect."""
        for fault, verb in (("lost_answers", "out"), ("lost_requests", "in")):
            version = self.shown()["version"]
            words = (f"data-centre-{verb}", "howrah", "--json")
            self.faults(**{fault: 1_000_000})
            ended = self.cli(*words, "--timeout", "1.5")
            self.faults(**{fault: 0})
            self.assertEqual(
                ExitCode.MAY_HAVE, ended.exit_code, (fault, ended)
            )
            operation_id = ended.values["operation_id"]
            repeat = (*words, "--operation-id", operation_id)
            for _ in range(2):
                ended = self.cli(*repeat)
                self.assertEqual(
                    ExitCode.DONE, ended.exit_code, (fault, ended)
                )
            self.assertEqual(version + 1, self.shown()["version"])

    def test_repeat_does_not_undo_a_later_change(self) -> None:
        """Guards against a repeated change that is made a second time."""
        words = ("data-centre-out", "howrah", "--operation-id", "change-1")
        self.assertEqual(0, self.cli(*words).exit_code)
        self.assertEqual(0, self.cli("data-centre-in", "howrah").exit_code)
        self.assertEqual(0, self.cli(*words).exit_code)
        self.assertEqual([], self.shown()["rules"]["out"])

    def test_interrupt(self) -> None:
        """Guards against an interrupted change that reads as not made."""
        self.faults(delayed_writes=1, write_delay_seconds=600.0)
        reads = self.reads()
        words = ("data-centre-out", "howrah", "--json", "--timeout", "100")
        popen = self.start(*words)
        cli_fixtures.wait_until(lambda: self.reads() > reads)
        popen.send_signal(signal.SIGINT)
        out, error = popen.communicate(timeout=cli_fixtures.TIMEOUT_S)
        self.assertEqual(ExitCode.MAY_HAVE, popen.returncode, error)
        operation_id = json.loads(out)["operation_id"]
        repeat = (*words, "--operation-id", operation_id)
        self.assertEqual(ExitCode.DONE, self.cli(*repeat).exit_code)
        self.assertEqual(["howrah"], self.shown()["rules"]["out"])

    def test_store_down(self) -> None:
        self.faults(down=True)
        words = ("data-centre-out", "howrah", "--timeout", "1")
        self.assertEqual(ExitCode.UNREACHABLE, self.cli(*words).exit_code)
        self.assertEqual(ExitCode.UNREACHABLE, self.cli("members").exit_code)
        # An earlier attempt under this id may have taken effect.
        ended = self.cli(*words, "--operation-id", "change-1")
        self.assertEqual(ExitCode.MAY_HAVE, ended.exit_code)


class TestUsage(unittest.TestCase):
    """Bad usage must be told apart from a change without effect."""

    def test_unknown_words(self) -> None:
        for words in ((), ("drian", "x"), ("drain", "x", "--forse")):
            ended = cli_fixtures.run(*words)
            self.assertEqual(ExitCode.USAGE, ended.exit_code, ended)

    def test_settings_faults(self) -> None:
        ended = cli_fixtures.run("show", "--settings", "/nowhere.toml")
        self.assertEqual(ExitCode.USAGE, ended.exit_code)
        self.assertIn("/nowhere.toml", ended.stderr)
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "operator.toml")
            text = cli_fixtures.operator_settings_text(
                "ftp://store", "accounting"
            )
            path.write_text(text)
            words = ("show", "--settings", str(path))
            ended = cli_fixtures.run(*words, "--json")
        self.assertEqual(ExitCode.USAGE, ended.exit_code)
        (error,) = ended.values["errors"]
        self.assertEqual("store.endpoints[0]", error["key"])
        self.assertEqual("'ftp://store'", error["value"])

    def test_every_subcommand_has_help_with_an_example(self) -> None:
        for name in main.COMMANDS:
            out = io.StringIO()
            with (
                contextlib.redirect_stdout(out),
                self.assertRaises(SystemExit) as ended,
            ):
                main.run([name, "--help"])
            self.assertEqual(0, ended.exception.code)
            self.assertRegex(out.getvalue(), rf"\n    godwitturn {name} ?")

    def test_address_in_use(self) -> None:
        """Guards against a daemon that ends without naming its address."""
        deployment = cli_fixtures.DEPLOYMENT
        plan = deployments.balancer_specs(deployment)[0]
        with (
            tempfile.TemporaryDirectory() as directory,
            socket.socket() as taken,
        ):
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            for role in ("control", "admin"):
                free = f"127.0.0.1:{processes.free_port()}"
                path = pathlib.Path(directory, f"{role}.toml")
                deployments.write_balancer_settings(
                    path,
                    deployment,
                    plan,
                    store_url="http://127.0.0.1:1",
                    caller_address="127.0.0.1:0",
                    control_address=address if role == "control" else free,
                    seeds={},
                    admin_address=address if role == "admin" else free,
                )
                ended = cli_fixtures.run("run-balancer", str(path))
                self.assertEqual(ExitCode.USAGE, ended.exit_code, ended)
                self.assertIn(address, ended.stderr)

    def test_wrong_role(self) -> None:
        text = (cli_fixtures.EXAMPLES / "perth-agent.toml").read_text()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "agent.toml")
            path.write_text(text)
            path.chmod(0o600)
            ended = cli_fixtures.run("run-balancer", str(path))
        self.assertEqual(ExitCode.USAGE, ended.exit_code)
        self.assertIn("[balancer]", ended.stderr)


class TestDocumentation(unittest.TestCase):
    """Scripts rely on the documented exit status."""

    def test_exit_codes(self) -> None:
        rows = re.findall(r"^\| (\d) \| `(\w+)` \|", DOCS.read_text(), re.M)
        in_code = [(str(int(code)), code.name) for code in ExitCode]
        self.assertEqual(in_code, rows)

    def test_subcommands(self) -> None:
        rows = re.findall(r"^\| `godwitturn ([\w-]+)", DOCS.read_text(), re.M)
        self.assertEqual(list(main.COMMANDS), rows)


class TestImports(unittest.TestCase):
    """A subcommand must not load a library that only others use."""

    def test_no_heavy_library_at_start(self) -> None:
        heavy = "{'httpx', 'starlette', 'hypercorn', 'zmq', 'hdrh'}"
        code = (
            "import sys, godwitturn.cli.main; "
            f"print(sorted({heavy} & set(sys.modules)))"
        )
        ended = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        self.assertEqual("[]\n", ended.stdout, ended.stderr)

    def test_daemons_hold_nothing_of_the_command_line(self) -> None:
        """Guards against 5 MB of 32 in each agent and balancer."""
        unwanted = "{'defopt', 'docutils', 'starlette', 'hypercorn'}"
        code = (
            "import sys, godwitturn.daemons.agent, "
            "godwitturn.daemons.balancer; "
            f"print(sorted({unwanted} & set(sys.modules)))"
        )
        ended = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        self.assertEqual("[]\n", ended.stdout, ended.stderr)


class TestKeygen(unittest.TestCase):
    """A secret key must be private and never be overwritten."""

    def test_new_file_only(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "team.key")
            words = ("keygen", "team", str(path), "--json")
            ended = cli_fixtures.run(*words)
            self.assertEqual(ExitCode.DONE, ended.exit_code)
            secret = path.read_text()
            self.assertNotIn(secret.strip(), ended.stdout)
            self.assertEqual(0o600, stat.S_IMODE(path.stat().st_mode))
            self.assertEqual(
                ExitCode.USAGE, cli_fixtures.run(*words).exit_code
            )
            self.assertEqual(secret, path.read_text())
