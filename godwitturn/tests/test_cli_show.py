"""Tests of `godwitturn show`, run as a process against a store stand-in."""

import base64

import httpx
import msgspec

from godwitturn.cli import exit_codes
from godwitturn.etcd import operations as store_operations
from godwitturn.tests import cli_fixtures

ExitCode = exit_codes.ExitCode


class TestShow(cli_fixtures.StoreTestCase):
    """A document that daemons reject must not appear to be absent."""

    def _put(self, key: str, value: bytes) -> None:
        full_key = f"/godwitturn/{cli_fixtures.DEPLOYMENT.name}/{key}"
        body = {
            "key": base64.b64encode(full_key.encode()).decode(),
            "value": base64.b64encode(value).decode(),
        }
        response = httpx.post(f"{self.store_url}/v3/kv/put", json=body)
        response.raise_for_status()

    def test_documents_that_cannot_be_decoded_are_named(self) -> None:
        self.assertEqual([], self.configuration()["undecodable"])
        body = msgspec.msgpack.encode(["not", "a", "service"])
        stored = store_operations.StoredDocument((), body)
        self._put("services/newsdesk", store_operations.encode(stored))
        self._put("members/newsdesk", b"\xc1 not msgpack")
        keys = ["members/newsdesk", "services/newsdesk"]
        result = self.cli("show", "--json")
        self.assertEqual(ExitCode.UNDECODABLE, result.exit_code, result)
        self.assertEqual(6, result.values["exit_code"])
        self.assertEqual(keys, result.values["undecodable"])
        services = [service["name"] for service in result.values["services"]]
        self.assertIn("onboard-core", services)
        result = self.cli("show")
        self.assertEqual(ExitCode.UNDECODABLE, result.exit_code, result)
        _, _, table = result.stdout.partition("UNDECODABLE DOCUMENT\n")
        self.assertEqual(keys, table.split())
