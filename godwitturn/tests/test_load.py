"""Tests of a daemon's settings file."""

import unittest

from returns import pipeline

from godwitturn.settings import load

VALID_SETTINGS = f"""
deployment = "kolkata"
data_centre = "howrah"
[identity]
name = "entry-1"
secret_key = "{"ab" * 32}"
[teams]
licensing = "{"cd" * 32}"
[[token_keys]]
service_id = 1
key_id = 1
secret = "{"ef" * 32}"
[control]
address = "127.0.0.1:7200"
[balancer]
caller_address = "127.0.0.1:7000"
data_address = "[::1]:7100"
"""


def _errors(text: str) -> list[str]:
    loaded = load.parse(text, file="x.toml")
    return [str(error) for error in loaded.failure()]


class TestParse(unittest.TestCase):
    """Guards against a daemon that starts with partly invalid settings."""

    def test_valid_file_is_accepted(self) -> None:
        loaded = load.parse(VALID_SETTINGS, file="x.toml")
        self.assertTrue(pipeline.is_successful(loaded))
        balancer = loaded.unwrap().balancer
        assert balancer is not None
        self.assertEqual(("::1", 7100), balancer.data_address)

    def test_all_errors_are_reported_at_once(self) -> None:
        text = VALID_SETTINGS.replace("key_id = 1", "key_id = 256")
        text = text.replace("127.0.0.1:7000", "localhost:7000")
        text = text.replace("[control]", "[control]\nsedes = 1")
        errors = _errors(text)
        self.assertEqual(3, len(errors), errors)
        joined = "\n".join(errors)
        self.assertIn("token_keys[0].key_id: 256", joined)
        self.assertIn("a whole number from 0 to 255", joined)
        self.assertIn("balancer.caller_address: 'localhost:7000'", joined)
        self.assertIn("control.sedes", joined)

    def test_missing_key_is_reported(self) -> None:
        errors = _errors(VALID_SETTINGS.replace('deployment = "kolkata"', ""))
        self.assertEqual(1, len(errors))
        self.assertIn("deployment: (missing)", errors[0])

    def test_invalid_secret_is_not_quoted_in_the_error(self) -> None:
        errors = _errors(VALID_SETTINGS.replace("ef" * 32, "ef" * 31 + "zz"))
        self.assertEqual(1, len(errors))
        self.assertNotIn("ef", errors[0].split("allowed")[0])

    def test_secrets_are_not_shown_with_the_settings(self) -> None:
        shown = repr(load.parse(VALID_SETTINGS, file="x.toml").unwrap())
        for secret in (b"\xab" * 32, b"\xef" * 32):
            self.assertNotIn(secret.hex(), shown)
            self.assertNotIn(repr(secret), shown)

    def test_two_roles_are_rejected(self) -> None:
        agent = """
        [agent]
        service = "permit-desk"
        service_id = 2
        data_address = "127.0.0.1:1"
        target_url = "http://127.0.0.1:1"
        """
        errors = _errors(VALID_SETTINGS + agent)
        # The second error: the token key belongs to another service.
        self.assertEqual(2, len(errors), errors)

    def test_invalid_toml_is_reported(self) -> None:
        self.assertEqual(1, len(_errors("= 3")))
