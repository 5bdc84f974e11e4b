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


def _restore_interrupt() -> None:
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
    plans = deployments.balancer_specs(DEPLOYMENT)
    plans += deployments.target_specs(DEPLOYMENT)
    return [plan.member() for plan in plans]


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not true within {TIMEOUT_S} s")
        time.sleep(0.02)


@attrs.frozen
class CommandResult:
    """How a subcommand ended."""

    exit_code: int
    stdout: str
    stderr: str

    @property
    def values(self) -> Any:
        return json.loads(self.stdout)


def arguments(*words: str) -> list[str]:
    return [sys.executable, "-m", "godwitturn", *words]


def run(*words: str) -> CommandResult:
    ended = subprocess.run(
        arguments(*words), capture_output=True, text=True, timeout=TIMEOUT_S
    )
    return CommandResult(ended.returncode, ended.stdout, ended.stderr)


class StoreTestCase(unittest.TestCase):
    """Each test has a store of its own, with kolkata's rules."""

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

    def words(self, *words: str, team: str = "licensing") -> list[str]:
        file = str(self.directory / f"{team}.toml")
        return [*words, "--settings", file]

    def cli(self, *words: str, team: str = "licensing") -> CommandResult:
        return run(*self.words(*words, team=team))

    def start(self, *words: str) -> subprocess.Popen[str]:
        popen = subprocess.Popen(
            arguments(*self.words(*words)),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            # A test run that was started in the background ignores SIGINT,
            # and its children would inherit that.
            preexec_fn=_restore_interrupt,
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
        ended = self.cli("import-inventory", file, "--apply")
        self.assertEqual(0, ended.exit_code, ended)

    def faults(self, **values: Any) -> None:
        answer = httpx.post(f"{self.store_url}/standin/faults", json=values)
        answer.raise_for_status()

    def reads(self) -> int:
        answer = httpx.get(f"{self.store_url}/standin/counts")
        return int(answer.json().get("range", 0))

    def read(self, *words: str) -> Any:
        """Runs a reading subcommand in this process, which is faster."""
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = main.run(self.words(*words, "--json"))
        self.assertEqual(0, code, out.getvalue())
        return json.loads(out.getvalue())

    def shown(self) -> Any:
        return self.read("show")

    def members_by_name(self) -> dict[str, Any]:
        values = self.read("members")
        return {member["name"]: member for member in values["members"]}
