"""Tests of the agent's HTTP client for its target."""

import unittest

import httpx
import trio

from godwitturn.core import actions
from godwitturn.daemons import target_client

KEY = actions.RequestKey(1, 2, 3)
REQUEST = actions.StartRequest(KEY, b"body", 0.5, False)
TIMEOUT_S = 10.0


class TestDeadline(unittest.TestCase):
    """A target that ignores the deadline of a request."""

    def test_request_is_cancelled_at_the_target(self) -> None:
        """Guards against requests that occupy a slot past their deadline."""
        calls: list[tuple[str, str]] = []
        events: list[actions.AgentEvent] = []

        def respond(request: httpx.Request) -> httpx.Response:
            calls.append((request.method, request.url.path))
            if request.method == "POST":
                raise httpx.ReadTimeout("no answer", request=request)
            return httpx.Response(204)

        async def main() -> None:
            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    client = target_client.TargetClient(
                        url="http://target",
                        receive=events.append,
                        nursery=nursery,
                        transport=httpx.MockTransport(respond),
                    )
                    client.start(REQUEST)

        trio.run(main)
        name = f"/requests/{KEY.flow_id:016x}-{KEY.epoch}-{KEY.request_id}"
        self.assertEqual([("POST", "/requests"), ("DELETE", name)], calls)
        (event,) = events
        assert isinstance(event, actions.TargetFailed)
        self.assertTrue(event.started)


class TestHealth(unittest.TestCase):
    """A target whose health answer can't be read."""

    # Guards against an answer that ends the agent which reads it.
    def test_unreadable_answers_count_as_unhealthy(self) -> None:
        bodies = [b"[" * 100_000, b"\xff", b"9" * 5000, b"[]", b"{"]
        unread = list(bodies)
        events: list[actions.AgentEvent] = []

        async def main() -> None:
            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:

                    def respond(_: httpx.Request) -> httpx.Response:
                        if not unread:
                            nursery.cancel_scope.cancel()
                            return httpx.Response(200)
                        return httpx.Response(200, content=unread.pop(0))

                    client = target_client.TargetClient(
                        url="http://target",
                        receive=events.append,
                        nursery=nursery,
                        transport=httpx.MockTransport(respond),
                    )
                    await client.watch_health()

        trio.run(main)
        self.assertEqual(
            [actions.HealthCheckCompleted(False)] * len(bodies),
            events[: len(bodies)],
        )
