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
    """Nobody without the token may read or change anything."""

    def test_every_path_needs_the_token(self) -> None:
        async def test(running: admin_fixtures.Running) -> None:
            wrong = [
                "",
                "Bearer",
                f"Bearer {'0' * 64}",
                f"Basic {admin_fixtures.TOKEN.hex()}",
            ]
            wrong += [
                f"Bearer {admin_fixtures.TOKEN.hex()[:-1]}",
                "Bearer \u00e9",
            ]
            paths = ["/status", "/metrics", "/v1/members", "/nowhere"]
            for path in paths:
                for given in wrong:
                    found = await running.client.get(
                        path, headers=[(b"authorization", given.encode())]
                    )
                    self.assertEqual(401, found.status_code, (path, given))
                    self.assertNotIn(admin_fixtures.TOKEN.hex(), found.text)
            ids = {event.event_id for event in running.logged}
            self.assertEqual({events.EventId.ADMIN_UNAUTHORISED}, ids)
            self.assertNotIn(admin_fixtures.TOKEN.hex(), str(running.logged))
            found = await running.send("GET", "/status")
            self.assertEqual(200, found.status_code)

        admin_fixtures.run(test)

    def test_no_token_on_loopback(self) -> None:
        async def test(running: admin_fixtures.Running) -> None:
            found = await running.client.get("/status")
            self.assertEqual(200, found.status_code)

        admin_fixtures.run(test, token=b"")

    def test_no_token_elsewhere(self) -> None:
        """Guards against an open API on the network."""

        async def test(running: admin_fixtures.Running) -> None:
            options = states.Options("x", "howrah", "kolkata", {})
            application = api.application(running.state, options)
            for host in ("0.0.0.0", "::", "192.0.2.1"):
                address = addresses.Address(host, 0)
                with self.assertRaisesRegex(ValueError, "loopback"):
                    await server.serve(application, address)

        admin_fixtures.run(test)


class TestReads(unittest.TestCase):
    """Operators must see the state as it is."""

    def test_status_and_metrics(self) -> None:
        async def test(running: admin_fixtures.Running) -> None:
            running.state.fenced = True
            running.state.registry.counters_by_part["balancer"] = {"opened": 3}
            running.state.members[7] = membership.Announcement(
                7, 1, 2, 3, addresses.Address("192.0.2.1", 7100)
            )
            values = (await running.send("GET", "/status")).json()
            self.assertEqual(
                (41, True, "entry-1"),
                (values["version"], values["fenced"], values["name"]),
            )
            self.assertEqual("serving", values["members"][0]["state"])
            self.assertEqual({"balancer_opened": 3}, values["counters"])
            found = await running.send("GET", "/metrics")
            self.assertIn("godwitturn_balancer_opened_total 3", found.text)
            self.assertIn("version=0.0.4", found.headers["content-type"])

        admin_fixtures.run(test)

    def test_command_line_status(self) -> None:
        """Guards against a command line that misses a fenced balancer."""

        async def test(running: admin_fixtures.Running) -> None:
            running.state.fenced = True
            text = cli_fixtures.operator_settings_text(
                "http://127.0.0.1:1", "licensing"
            )
            for token, code in ((admin_fixtures.TOKEN, 0), (bytes(32), 5)):
                with tempfile.TemporaryDirectory() as directory:
                    path = pathlib.Path(directory, "operator.toml")
                    table = f'[[balancers]]\nurl = "{running.url}"\n'
                    table += f'token = "{token.hex()}"\n'
                    path.write_text(text + table)
                    path.chmod(0o600)
                    words = ("status", "--json", "--settings", str(path))
                    ended = await trio.to_thread.run_sync(
                        cli_fixtures.run, *words
                    )
                self.assertEqual(code, ended.exit_code, ended)
                (found,) = ended.values["balancers"]
                self.assertEqual(code == 0, found.get("fenced", False))

        admin_fixtures.run(test)

    def test_cancelled_server_ends_without_an_error(self) -> None:
        """Guards against a daemon that ends with a failure of its API."""

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
            with trio.move_on_after(0.2) as late:
                await server.serve(application, admin_fixtures.LOOPBACK)
            self.assertTrue(late.cancelled_caught)

        trio.run(main)

    def test_failure_of_the_daemon(self) -> None:
        """Guards against a fault of the API that ends the daemon."""

        async def test(running: admin_fixtures.Running) -> None:
            running.state.members = None  # type: ignore[assignment]
            found = await running.send("GET", "/status")
            self.assertEqual(500, found.status_code)
            self.assertEqual(
                "internal", admin_fixtures.errors_of(found)[0]["type"]
            )
            last = running.logged[-1]
            self.assertEqual(events.EventId.ADMIN_FAILED, last.event_id)
            running.state.members = {}
            found = await running.send("GET", "/status")
            self.assertEqual(200, found.status_code)

        admin_fixtures.run(test)


class TestBadRequests(unittest.TestCase):
    """A bad request must be refused with what is allowed, and cheaply."""

    def test_body_limit(self) -> None:
        headers = {**admin_fixtures.AUTHORISED, "content-type": "text/csv"}

        async def test(running: admin_fixtures.Running) -> None:
            found = await running.client.put(
                "/v1/inventory",
                content=bytes(messages.MAX_BODY_BYTES + 1),
                headers=headers,
            )
            self.assertEqual(413, found.status_code)
            self.assertEqual(
                "too_large", admin_fixtures.errors_of(found)[0]["type"]
            )

        admin_fixtures.run(test)

    def test_endless_body(self) -> None:
        """Guards against a body that is read without an end."""
        sent = 0

        async def chunks() -> AsyncIterator[bytes]:
            nonlocal sent
            while sent < 64 * messages.MAX_BODY_BYTES:
                sent += 1 << 16
                yield bytes(1 << 16)

        async def test(running: admin_fixtures.Running) -> None:
            headers = {**admin_fixtures.AUTHORISED, "content-type": "text/csv"}
            # The answer is lost if the connection is reset while the body is
            # still being sent.
            with contextlib.suppress(httpx.WriteError, httpx.ReadError):
                found = await running.client.put(
                    "/v1/inventory", content=chunks(), headers=headers
                )
                self.assertEqual(413, found.status_code)

        admin_fixtures.run(test)
        self.assertLess(sent, 32 * messages.MAX_BODY_BYTES)

    def test_content_type(self) -> None:
        """Guards against a change sent by a page in a browser."""

        async def test(running: admin_fixtures.Running) -> None:
            found = await running.client.put(
                "/v1/data-centres/howrah",
                content=json.dumps({"out": True}),
                headers={
                    **admin_fixtures.AUTHORISED,
                    "content-type": "text/plain",
                },
            )
            self.assertEqual(415, found.status_code)

        admin_fixtures.run(test)

    def test_bodies(self) -> None:
        async def test(running: admin_fixtures.Running) -> None:
            bodies: list[tuple[str, str]] = [
                ("{", "body"),
                ("[]", "body"),
                ("[" * 100_000, "body"),
                ('{"out": 1}', "out"),
                ('{"out": true, "force": 1}', "force"),
                ("{}", "out"),
            ]
            for text, named in bodies:
                found = await running.client.put(
                    "/v1/data-centres/howrah",
                    content=text,
                    headers={
                        **admin_fixtures.AUTHORISED,
                        "content-type": "application/json",
                    },
                )
                self.assertEqual(400, found.status_code, text[:40])
                self.assertIn(
                    named, admin_fixtures.errors_of(found)[0]["message"]
                )
            body = {"members": ["x"] * 101, "draining": True}
            found = await running.send("POST", "/v1/members/draining", body)
            self.assertEqual(400, found.status_code)
            found = await running.import_csv("", "?apply=yes")
            self.assertEqual(
                "true or false", admin_fixtures.errors_of(found)[0]["allowed"]
            )

        admin_fixtures.run(test)

    def test_paths(self) -> None:
        async def test(running: admin_fixtures.Running) -> None:
            for method, path, status in (
                ("GET", "/nowhere", 404),
                ("DELETE", "/v1/rules", 405),
            ):
                found = await running.send(method, path)
                self.assertEqual(status, found.status_code)
                self.assertIn(
                    path, admin_fixtures.errors_of(found)[0]["message"]
                )

        admin_fixtures.run(test)


class TestDocumentation(unittest.TestCase):
    """Programs are written from the documentation."""

    def test_paths_and_error_types(self) -> None:
        text = DOCS.read_text()
        documented = set(re.findall(r"^\| `[A-Z]+ (/\S*?)`", text, re.M))
        sources = pathlib.Path(api.__file__).read_text()
        sources += pathlib.Path(messages.__file__).read_text()
        routes = set(re.findall(r'route\("(\S+?)"', sources))
        self.assertEqual(routes, documented)
        types = set(re.findall(r"^\| \d{3} \| `(\w+)`", text, re.M))
        for name in types:
            self.assertIn(f'"{name}"', sources)
        used = re.findall(r'\d{3}, "(\w+)"', sources)
        self.assertLessEqual(set(used), types)
