"""Tests of the administration API: access, reads and bad requests."""

from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import re
import tempfile
from typing import Any
import unittest

import httpx
import trio

from godwitturn.admin import api
from godwitturn.admin import messages
from godwitturn.admin import server
from godwitturn.admin import state as states
from godwitturn.core import addresses
from godwitturn.core import events
from godwitturn.core import membership
from godwitturn.tests import admin_fixtures
from godwitturn.tests import cli_fixtures

DOCS = pathlib.Path(__file__).parents[2] / "docs" / "api.md"


class TestAuthorisation(unittest.TestCase):
    """Clients without the token must not read or change anything."""

    def test_every_path_needs_the_token(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            wrong_headers = [
                "",
                "Bearer",
                f"Bearer {'0' * 64}",
                f"Basic {admin_fixtures.TOKEN.hex()}",
            ]
            wrong_headers += [
                f"Bearer {admin_fixtures.TOKEN.hex()[:-1]}",
                "Bearer \u00e9",
            ]
            paths = ["/status", "/metrics", "/v1/members", "/nowhere"]
            for path in paths:
                for header in wrong_headers:
                    response = await api_server.client.get(
                        path, headers=[(b"authorization", header.encode())]
                    )
                    self.assertEqual(401, response.status_code, (path, header))
                    self.assertNotIn(admin_fixtures.TOKEN.hex(), response.text)
            ids = {event.event_id for event in api_server.log_events}
            self.assertEqual({events.EventId.ADMIN_UNAUTHORISED}, ids)
            self.assertNotIn(
                admin_fixtures.TOKEN.hex(), str(api_server.log_events)
            )
            response = await api_server.send("GET", "/status")
            self.assertEqual(200, response.status_code)

        admin_fixtures.run_with_api(test)

    def test_loopback_api_without_a_token_answers(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            response = await api_server.client.get("/status")
            self.assertEqual(200, response.status_code)

        admin_fixtures.run_with_api(test, token=b"")

    def test_serving_other_addresses_without_a_token_is_refused(self) -> None:
        """Guards against an API on the network that needs no token."""

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            options = states.Options("x", "howrah", "kolkata", {})
            application = api.application(api_server.state, options)
            for host in ("0.0.0.0", "::", "192.0.2.1"):
                address = addresses.Address(host, 0)
                with self.assertRaisesRegex(ValueError, "loopback"):
                    await server.serve(application, address)

        admin_fixtures.run_with_api(test)


class TestReads(unittest.TestCase):
    """The API must report the current state, also after a fault."""

    def test_status_and_metrics_report_the_current_state(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            api_server.state.fenced = True
            api_server.state.registry.counters_by_part["balancer"] = {
                "opened": 3
            }
            api_server.state.members[7] = membership.Announcement(
                7, 1, 2, 3, addresses.Address("192.0.2.1", 7100)
            )
            values = (await api_server.send("GET", "/status")).json()
            self.assertEqual(
                (41, True, "entry-1"),
                (values["version"], values["fenced"], values["name"]),
            )
            self.assertEqual("serving", values["members"][0]["state"])
            self.assertEqual({"balancer_opened": 3}, values["counters"])
            response = await api_server.send("GET", "/metrics")
            self.assertIn("godwitturn_balancer_opened_total 3", response.text)
            self.assertIn("version=0.0.4", response.headers["content-type"])

        admin_fixtures.run_with_api(test)

    def test_status_command_reports_fencing_and_a_wrong_token(self) -> None:
        """Guards against a status command that hides a balancer's fencing."""

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            api_server.state.fenced = True
            text = cli_fixtures.operator_settings_text(
                "http://127.0.0.1:1", "licensing"
            )
            for token, code in ((admin_fixtures.TOKEN, 0), (bytes(32), 5)):
                with tempfile.TemporaryDirectory() as directory:
                    path = pathlib.Path(directory, "operator.toml")
                    table = f'[[balancers]]\nurl = "{api_server.url}"\n'
                    table += f'token = "{token.hex()}"\n'
                    path.write_text(text + table)
                    path.chmod(0o600)
                    arguments = ("status", "--json", "--settings", str(path))
                    result = await trio.to_thread.run_sync(
                        cli_fixtures.run, *arguments
                    )
                self.assertEqual(code, result.exit_code, result)
                (status,) = result.values["balancers"]
                self.assertEqual(code == 0, status.get("fenced", False))

        admin_fixtures.run_with_api(test)

    def test_cancelled_server_ends_without_an_error(self) -> None:
        """Guards against a daemon that fails in the shutdown of its API."""

        async def main() -> None:
            options = states.Options("x", "howrah", "kolkata", {})
            state: Any = None
            application = api.application(state, options)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(
                        server.serve, application, admin_fixtures.LOOPBACK
                    )
                    scope.cancel()
            self.assertTrue(scope.cancelled_caught)
            with trio.move_on_after(0.2) as timeout:
                await server.serve(application, admin_fixtures.LOOPBACK)
            self.assertTrue(timeout.cancelled_caught)

        trio.run(main)

    def test_handler_fault_is_logged_and_serving_continues(self) -> None:
        """Guards against a fault in a request handler that ends the daemon."""

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            api_server.state.members = None  # type: ignore[assignment]
            response = await api_server.send("GET", "/status")
            self.assertEqual(500, response.status_code)
            self.assertEqual(
                "internal", admin_fixtures.errors_of(response)[0]["type"]
            )
            last = api_server.log_events[-1]
            self.assertEqual(events.EventId.ADMIN_FAILED, last.event_id)
            api_server.state.members = {}
            response = await api_server.send("GET", "/status")
            self.assertEqual(200, response.status_code)

        admin_fixtures.run_with_api(test)


class TestBadRequests(unittest.TestCase):
    """A bad request must be refused early, naming the allowed values."""

    def test_body_over_the_limit_is_refused(self) -> None:
        headers = {**admin_fixtures.AUTHORISED, "content-type": "text/csv"}

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            response = await api_server.client.put(
                "/v1/inventory",
                content=bytes(messages.MAX_BODY_BYTES + 1),
                headers=headers,
            )
            self.assertEqual(413, response.status_code)
            self.assertEqual(
                "too_large", admin_fixtures.errors_of(response)[0]["type"]
            )

        admin_fixtures.run_with_api(test)

    def test_endless_body_is_refused_before_its_end(self) -> None:
        """Guards against a body that is read without a limit."""
        sent_bytes = 0

        async def chunks() -> AsyncIterator[bytes]:
            nonlocal sent_bytes
            while sent_bytes < 64 * messages.MAX_BODY_BYTES:
                sent_bytes += 1 << 16
                yield bytes(1 << 16)

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            headers = {**admin_fixtures.AUTHORISED, "content-type": "text/csv"}
            # The response is lost if the connection is reset while the body is
            # still being sent.
            with contextlib.suppress(httpx.WriteError, httpx.ReadError):
                response = await api_server.client.put(
                    "/v1/inventory", content=chunks(), headers=headers
                )
                self.assertEqual(413, response.status_code)

        admin_fixtures.run_with_api(test)
        self.assertLess(sent_bytes, 32 * messages.MAX_BODY_BYTES)

    def test_change_with_another_content_type_is_refused(self) -> None:
        """Guards against a change made by a web page in a browser.

        Browsers send plain text to another site without its permission.
        """

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            response = await api_server.client.put(
                "/v1/data-centres/howrah",
                content=json.dumps({"out": True}),
                headers={
                    **admin_fixtures.AUTHORISED,
                    "content-type": "text/plain",
                },
            )
            self.assertEqual(415, response.status_code)

        admin_fixtures.run_with_api(test)

    def test_malformed_body_is_refused_naming_the_field(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            bodies_and_fields: list[tuple[str, str]] = [
                ("{", "body"),
                ("[]", "body"),
                ("[" * 100_000, "body"),
                ('{"out": 1}', "out"),
                ('{"out": true, "force": 1}', "force"),
                ("{}", "out"),
            ]
            for text, field in bodies_and_fields:
                response = await api_server.client.put(
                    "/v1/data-centres/howrah",
                    content=text,
                    headers={
                        **admin_fixtures.AUTHORISED,
                        "content-type": "application/json",
                    },
                )
                self.assertEqual(400, response.status_code, text[:40])
                self.assertIn(
                    field, admin_fixtures.errors_of(response)[0]["message"]
                )
            body = {"members": ["x"] * 101, "draining": True}
            response = await api_server.send(
                "POST", "/v1/members/draining", body
            )
            self.assertEqual(400, response.status_code)
            response = await api_server.import_csv("", "?apply=yes")
            self.assertEqual(
                "true or false",
                admin_fixtures.errors_of(response)[0]["allowed"],
            )

        admin_fixtures.run_with_api(test)

    def test_unknown_path_or_method_gets_404_or_405(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            for method, path, status in (
                ("GET", "/nowhere", 404),
                ("DELETE", "/v1/rules", 405),
            ):
                response = await api_server.send(method, path)
                self.assertEqual(status, response.status_code)
                self.assertIn(
                    path, admin_fixtures.errors_of(response)[0]["message"]
                )

        admin_fixtures.run_with_api(test)


class TestDocumentation(unittest.TestCase):
    """The documentation must list all paths and error types."""

    def test_api_page_lists_all_paths_and_error_types(self) -> None:
        text = DOCS.read_text()
        documented_paths = set(re.findall(r"^\| `[A-Z]+ (/\S*?)`", text, re.M))
        sources = pathlib.Path(api.__file__).read_text()
        sources += pathlib.Path(messages.__file__).read_text()
        route_paths = set(re.findall(r'route\("(\S+?)"', sources))
        self.assertEqual(route_paths, documented_paths)
        documented_types = set(re.findall(r"^\| \d{3} \| `(\w+)`", text, re.M))
        for name in documented_types:
            self.assertIn(f'"{name}"', sources)
        used_types = re.findall(r'\d{3}, "(\w+)"', sources)
        self.assertLessEqual(set(used_types), documented_types)
