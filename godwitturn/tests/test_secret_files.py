"""Tests of the modes of files with keys or tokens."""

import os
import pathlib
import stat
import tempfile
import unittest

from returns import result as results

from godwitturn.settings import load
from godwitturn.settings import operator
from godwitturn.settings import specs
from godwitturn.standins import deployments
from godwitturn.tests import cli_fixtures
from godwitturn.tests import test_load

PRIVATE_MODES = (0o600, 0o400, 0o700)
NON_PRIVATE_MODES = (0o644, 0o640, 0o604, 0o620, 0o610, 0o666)
TOKEN_TABLE = f"""
[[balancers]]
url = "http://127.0.0.1:1"
token = "{"ab" * 32}"
"""


class _DirectoryCase(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, name: str, text: str, mode: int) -> pathlib.Path:
        path = self.directory / name
        path.write_text(text)
        path.chmod(mode)
        return path

    def assert_mode_error(
        self, found: results.Result, path: pathlib.Path, mode: int
    ) -> None:
        self.assertIsInstance(found, results.Failure, f"{mode:04o}")
        (error,) = found.failure()
        self.assertIsInstance(error, specs.ValidationError)
        self.assertEqual((str(path), f"{mode:04o}"), (error.file, error.value))
        self.assertIn("0600", error.allowed)


class TestDaemonSettings(_DirectoryCase):
    """Guards against keys that other users of the daemon's VM can read."""

    def test_only_private_modes_are_accepted(self) -> None:
        for mode in PRIVATE_MODES:
            path = self.write("a.toml", test_load.VALID_SETTINGS, mode)
            self.assertIsInstance(load.load(path), results.Success, oct(mode))
        for mode in NON_PRIVATE_MODES:
            path = self.write("a.toml", test_load.VALID_SETTINGS, mode)
            self.assert_mode_error(load.load(path), path, mode)

    def test_errors_of_mode_and_values_are_reported_at_once(self) -> None:
        """Guards against reporting only the first error."""
        text = test_load.VALID_SETTINGS.replace("key_id = 1", "key_id = 256")
        path = self.write("a.toml", text, 0o644)
        errors = load.load(path).failure()
        self.assertEqual(
            ["(mode)", "token_keys[0].key_id"], [error.key for error in errors]
        )

    def test_mode_of_a_link_is_that_of_the_file(self) -> None:
        path = self.write("a.toml", test_load.VALID_SETTINGS, 0o644)
        link = self.directory / "link.toml"
        link.symlink_to(path)
        self.assert_mode_error(load.load(link), link, 0o644)

    def test_commands_reject_the_mode(self) -> None:
        path = self.write("a.toml", test_load.VALID_SETTINGS, 0o644)
        for arguments in (("run-balancer",), ("check-settings", "--json")):
            result = cli_fixtures.run(*arguments, str(path))
            self.assertEqual(2, result.exit_code, result)
            self.assertIn("0644", result.stdout + result.stderr)
        with self.assertRaises(SystemExit) as exited:
            load.load_or_exit(path)
        self.assertEqual(2, exited.exception.code)


class TestOperatorSettings(_DirectoryCase):
    """Guards against tokens and keys that other operators can read."""

    def setUp(self) -> None:
        super().setUp()
        self.text = cli_fixtures.operator_settings_text(
            "http://127.0.0.1:1", "licensing"
        )

    def test_file_with_a_token_must_be_private(self) -> None:
        path = self.write("o.toml", self.text + TOKEN_TABLE, 0o644)
        self.assert_mode_error(operator.load(path), path, 0o644)
        path = self.write("o.toml", self.text + TOKEN_TABLE, 0o600)
        self.assertIsInstance(operator.load(path), results.Success)

    def test_file_without_a_token_may_be_readable_by_others(self) -> None:
        """Guards against rejecting the mode of a file without a secret."""
        path = self.write("o.toml", self.text, 0o644)
        self.assertIsInstance(operator.load(path), results.Success)

    def test_errors_of_mode_and_values_are_reported_at_once(self) -> None:
        text = self.text + TOKEN_TABLE.replace("ab" * 32, "ab")
        path = self.write("o.toml", text, 0o640)
        errors = operator.load(path).failure()
        self.assertEqual(
            ["(mode)", "balancers[0].token"], [error.key for error in errors]
        )

    def test_file_of_a_signing_key_must_be_private(self) -> None:
        settings_file = self.write("o.toml", self.text, 0o600)
        settings = operator.load(settings_file).unwrap()
        teams = deployments.signing_keys(cli_fixtures.DEPLOYMENT)
        key = bytes(teams["licensing"]).hex()
        for mode in NON_PRIVATE_MODES:
            path = self.write("licensing.key", key, mode)
            found = operator.load_signing_key(settings, settings_file)
            self.assert_mode_error(found, path, mode)
        other = bytes(teams["operations"]).hex()
        for wrong in (other, "zz"):
            self.write("licensing.key", wrong, 0o644)
            found = operator.load_signing_key(settings, settings_file)
            keys = [error.key for error in found.failure()]
            self.assertEqual(["(mode)", "(key)"], keys)
        self.write("licensing.key", key, 0o600)
        found = operator.load_signing_key(settings, settings_file)
        self.assertIsInstance(found, results.Success)


class TestWrittenFiles(_DirectoryCase):
    """Files that godwitturn writes must pass its own check."""

    def test_keygen_writes_private_files_under_any_umask(self) -> None:
        for umask in (0o000, 0o022, 0o277):
            path = self.directory / f"{umask:03o}.key"
            old_umask = os.umask(umask)
            try:
                result = cli_fixtures.run("keygen", "member", str(path))
            finally:
                os.umask(old_umask)
            self.assertEqual(0, result.exit_code, result)
            self.assertEqual(0o600, stat.S_IMODE(path.stat().st_mode))

    def test_stand_ins_restrict_an_existing_file(self) -> None:
        deployment = cli_fixtures.DEPLOYMENT
        path = self.write("b.toml", "", 0o644)
        deployments.write_balancer_settings(
            path,
            deployment,
            deployments.balancer_specs(deployment)[0],
            store_url="http://127.0.0.1:1",
            caller_address="127.0.0.1:0",
            control_address="127.0.0.1:0",
            seeds={},
        )
        self.assertIsInstance(load.load(path), results.Success)
