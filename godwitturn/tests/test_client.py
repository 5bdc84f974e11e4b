"""Tests of the caller library over loopback sockets."""

from collections.abc import AsyncIterator
import contextlib
import random
import unittest

import trio

from godwitturn.caller import client
from godwitturn.core import addresses
from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts
from godwitturn.standins import fakes

# Long, since the machine may be busy; no test measures speed.
TIMEOUT_S = 20.0
RAN = verdicts.Verdict.RAN


class Server:
    """A fake service on a loopback socket."""

    def __init__(self, agents: int = 2) -> None:
        self.service = fakes.FakeService(agents, random.Random(1))
        self.socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        self.address = addresses.Address("127.0.0.1", 0)
        self.sources: set[addresses.Address] = set()

    async def _receive(self) -> None:
        while True:
            data, source = await self.socket.recvfrom(2048)
            address = addresses.Address(*source)
            self.sources.add(address)
            now = trio.current_time()
            for reply in self.service.handle(data, address, now):
                await self.socket.sendto(reply, source)

    async def _finish(self) -> None:
        while True:
            for address, data in self.service.finish_requests(
                trio.current_time()
            ):
                await self.socket.sendto(data, address)
            await trio.sleep(0.005)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        await self.socket.bind(("127.0.0.1", 0))
        self.address = addresses.Address(*self.socket.getsockname())
        with self.socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._finish)
                yield
                nursery.cancel_scope.cancel()


class TestRequests(unittest.TestCase):
    """Bodies and answers must not be truncated or mixed up on a socket."""

    def test_request_is_answered(self) -> None:
        async def main() -> None:
            server = Server()
            async with (
                server.run(),
                client.connect(server.address, fakes.SERVICE_ID) as session,
            ):
                outcome = await session.request(
                    b"body", idempotent=False, timeout_s=TIMEOUT_S
                )
            self.assertIs(RAN, outcome.verdict)
            self.assertEqual(fakes.answer_to(b"body"), outcome.body)
            self.assertEqual(1, outcome.tries)

        trio.run(main)

    def test_large_body_and_answer_are_complete(self) -> None:
        async def main() -> None:
            server = Server()
            body = random.Random(2).randbytes(300_000)
            async with (
                server.run(),
                client.connect(server.address, fakes.SERVICE_ID) as session,
            ):
                outcome = await session.request(
                    body, idempotent=False, timeout_s=TIMEOUT_S
                )
            self.assertIs(RAN, outcome.verdict)
            self.assertEqual(fakes.answer_to(body), outcome.body)

        trio.run(main)

    def test_many_sessions_share_one_socket(self) -> None:
        async def send(session: client.ClientSession, number: int) -> None:
            body = b"%d" % number
            outcome = await session.request(
                body, idempotent=False, timeout_s=TIMEOUT_S
            )
            self.assertIs(RAN, outcome.verdict)
            self.assertEqual(fakes.answer_to(body), outcome.body)

        async def main() -> None:
            server = Server()
            async with (
                server.run(),
                client.open_caller(server.address) as caller,
                trio.open_nursery() as nursery,
            ):
                for first in range(0, 600, 3):
                    session = caller.open_session(fakes.SERVICE_ID)
                    for number in range(first, first + 3):
                        nursery.start_soon(send, session, number)
            self.assertEqual(1, len(server.sources))
            self.assertEqual(600, len(server.service.runs))

        trio.run(main)


class TestCancellation(unittest.TestCase):
    """A cancelled scope must stop the work and must not block."""

    def test_cancelled_scope_sends_cancel(self) -> None:
        async def main() -> None:
            server = Server(agents=1)
            agent = server.service.agents[1]
            agent.run_s = 1e6
            seen: list[session_events.Action] = []
            async with (
                server.run(),
                client.connect(
                    server.address, fakes.SERVICE_ID, observer=seen.append
                ) as session,
            ):
                with trio.move_on_after(TIMEOUT_S) as scope:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._send, session)
                        while not agent.runs:
                            await trio.sleep(0.01)
                        nursery.cancel_scope.cancel()
                    while not any(
                        isinstance(action, session_events.Completed)
                        for action in seen
                    ):
                        await trio.sleep(0.01)
                self.assertFalse(scope.cancelled_caught)
            kinds = [packet.kind.name for _, packet in agent.received]
            self.assertIn("CANCEL", kinds)

        trio.run(main)

    @staticmethod
    async def _send(session: client.ClientSession) -> None:
        await session.request(b"x", idempotent=False, timeout_s=1e4)

    def test_closing_ends_requests(self) -> None:
        outcomes: list[session_events.Outcome] = []

        async def send(session: client.ClientSession) -> None:
            outcomes.append(
                await session.request(b"x", idempotent=True, timeout_s=1e4)
            )

        async def main() -> None:
            server = Server(agents=1)
            server.service.agents[1].run_s = 1e6
            with trio.fail_after(TIMEOUT_S):
                async with (
                    server.run(),
                    client.connect(
                        server.address, fakes.SERVICE_ID
                    ) as session,
                    trio.open_nursery() as nursery,
                ):
                    nursery.start_soon(send, session)
                    while not server.service.runs:
                        await trio.sleep(0.01)
                    session.close()

        trio.run(main)
        (outcome,) = outcomes
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, outcome.verdict)


class TestClosed(unittest.TestCase):
    """A request of a closed session must end, not hang or raise."""

    def test_request_of_a_closed_session_does_not_run(self) -> None:
        async def main() -> None:
            server = Server()
            async with server.run():
                async with client.open_caller(server.address) as caller:
                    session = caller.open_session(fakes.SERVICE_ID)
                outcome = await session.request(
                    b"x", idempotent=False, timeout_s=TIMEOUT_S
                )
                with self.assertRaisesRegex(RuntimeError, "is closed"):
                    caller.open_session(fakes.SERVICE_ID)
            self.assertIs(verdicts.Verdict.NOT_RUN, outcome.verdict)

        trio.run(main)

    def test_request_in_a_cancelled_scope_is_cancelled(self) -> None:
        async def main() -> None:
            server = Server()
            async with server.run():
                async with client.open_caller(server.address) as caller:
                    session = caller.open_session(fakes.SERVICE_ID)
                with trio.CancelScope() as scope:
                    scope.cancel()
                    await session.request(
                        b"x", idempotent=False, timeout_s=TIMEOUT_S
                    )
            self.assertTrue(scope.cancelled_caught)

        trio.run(main)


class TestAddressChange(unittest.TestCase):
    """A device that changes its address must keep its flow."""

    def test_request_in_progress_survives(self) -> None:
        outcomes: list[session_events.Outcome] = []

        async def send(session: client.ClientSession) -> None:
            outcomes.append(
                await session.request(
                    b"x", idempotent=False, timeout_s=TIMEOUT_S
                )
            )

        async def main() -> None:
            server = Server()
            for agent in server.service.agents.values():
                agent.run_s = 0.5
            async with (
                server.run(),
                client.open_caller(server.address) as caller,
                trio.open_nursery() as nursery,
            ):
                session = caller.open_session(fakes.SERVICE_ID)
                nursery.start_soon(send, session)
                while not server.service.runs:
                    await trio.sleep(0.01)
                caller.rebind()
            self.assertEqual(2, len(server.sources))
            self.assertEqual(1, len(server.service.runs))

        trio.run(main)
        (outcome,) = outcomes
        self.assertIs(RAN, outcome.verdict)
        self.assertEqual(1, outcome.tries)


class TestUnreachable(unittest.TestCase):
    """A request must end by its deadline when nothing replies."""

    def test_request_ends_at_its_deadline(self) -> None:
        async def main() -> None:
            server = Server()
            async with server.run():
                address = server.address
            async with client.connect(address, fakes.SERVICE_ID) as session:
                outcome = await session.request(
                    b"x", idempotent=False, timeout_s=0.5
                )
                self.assertFalse(await session.wait_open(0.1))
            self.assertIs(verdicts.Verdict.NOT_RUN, outcome.verdict)
            self.assertIs(verdicts.Reason.DEADLINE, outcome.reason)

        trio.run(main)
