"""Test driver that passes packets to an agent as a balancer does."""

from typing import Any
import unittest

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import agent
from godwitturn.core import policy as policies
from godwitturn.core import target_stats
from godwitturn.core import token as tokens
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets

SERVICE_ID = 7
AGENT_ID = 99
BALANCER_ID = 1
PAIR_KEY = b"p" * 32
TOKEN_KEY = tokens.TokenKey(1, SERVICE_ID, b"k" * 32)
BALANCER = addresses.Address("127.0.0.1", 5000)
CALLER = addresses.Address("127.0.0.1", 6000)
# Version 3, approved, data centre not out, not draining, 100 flows, 1 slot,
# cold fraction 0.1, no ramp.
WARM_POLICY = policies.AgentPolicy(
    3, True, False, False, 100, 1, 0.1, 0.0, {BALANCER_ID: PAIR_KEY}
)
OPEN_PAYLOAD = bytes(packets.OPEN_PAYLOAD_BYTES)


class AgentDriver:
    """Passes events to an agent and records its actions.

    Attributes:
        now: Simulated time in seconds.
        agent: The agent.
        policy: Its policy.
        started: All requests that it started at the target.
        cancelled: Keys of all requests that it cancelled at the target.
        messages: Messages that it sent in response to the last event.
    """

    def __init__(
        self,
        *,
        incarnation: int = 5,
        token_keys: list[tokens.TokenKey] | None = None,
        fenced: bool = False,
        **policy_changes: Any,
    ) -> None:
        self.now = 1000.0
        self.agent = agent.Agent(
            member_id=AGENT_ID,
            service_id=SERVICE_ID,
            token_keys=token_keys or [TOKEN_KEY],
            incarnation=incarnation,
        )
        self.policy = WARM_POLICY
        self.started: list[actions.StartRequest] = []
        self.cancelled: list[actions.RequestKey] = []
        self.messages: list[encapsulation.Message] = []
        self.change_policy(**policy_changes)
        self.handle(actions.FenceChanged(fenced))

    def handle(self, event: actions.AgentEvent) -> list[actions.AgentAction]:
        """Passes an event to the agent, and records its actions."""
        self.messages = []
        outputs = self.agent.handle(event, now=self.now)
        for action in outputs:
            match action:
                case actions.StartRequest():
                    self.started.append(action)
                case actions.CancelRequest():
                    self.cancelled.append(action.key)
                case actions.SendToBalancer():
                    message = encapsulation.decode(
                        action.data, {AGENT_ID: PAIR_KEY}
                    )
                    assert message is not None
                    self.messages.append(message)
        return outputs

    def change_policy(self, **changes: Any) -> list[actions.AgentAction]:
        """Replaces fields of the agent's policy."""
        self.policy = attrs.evolve(self.policy, **changes)
        return self.handle(actions.PolicyChanged(self.policy))

    def tick(self, seconds: float = 0.0) -> list[actions.AgentAction]:
        """Advances the simulated time by some seconds and sends a tick."""
        self.now += seconds
        return self.handle(actions.Tick())

    def replies(self) -> list[packets.Packet]:
        """Returns the packets that the agent sent after the last event."""
        decoded = [packets.decode(m.packet) for m in self.messages]
        return [packet for packet in decoded if packet is not None]

    def deliver(
        self,
        data: bytes,
        *,
        caller: addresses.Address = CALLER,
        destination: int = AGENT_ID,
        pair_key: bytes = PAIR_KEY,
        **fields: Any,
    ) -> list[packets.Packet]:
        """Delivers an encoded packet; returns the packets sent in response."""
        message = encapsulation.Message(
            encapsulation.Kind.DELIVER,
            BALANCER_ID,
            destination,
            self.policy.version,
            caller,
            data,
            **fields,
        )
        datagram = encapsulation.encode(message, pair_key)
        self.handle(actions.BalancerDatagram(BALANCER, datagram))
        return self.replies()

    def send(
        self,
        kind: packets.Kind,
        flow_id: int,
        token: bytes = tokens.EMPTY,
        request_id: int = 0,
        *,
        caller: addresses.Address = CALLER,
        **fields: Any,
    ) -> list[packets.Packet]:
        """Sends a packet as a caller; returns the packets in response."""
        packet = packets.Packet(
            kind, SERVICE_ID, flow_id, token, request_id, **fields
        )
        return self.deliver(packets.encode(packet), caller=caller)

    def open(self, flow_id: int, **options: Any) -> bytes:
        """Opens a flow, which must be accepted; returns its token."""
        (accept,) = self.send_opening(flow_id, **options)
        assert accept.kind == packets.Kind.ACCEPT, accept
        return accept.token

    def send_opening(
        self, flow_id: int, **options: Any
    ) -> list[packets.Packet]:
        """Sends an opening; returns its acceptance or refusal."""
        return self.send(
            packets.Kind.OPEN, flow_id, payload=OPEN_PAYLOAD, **options
        )

    def request(
        self,
        flow_id: int,
        token: bytes,
        request_id: int = 1,
        *,
        idempotent: bool = False,
        **fields: Any,
    ) -> list[packets.Packet]:
        """Sends a request with one fragment; `fields` replace its fields."""
        values: dict[str, Any] = {
            "fragments": 1,
            "deadline_ms": 5000,
            "payload": b"body",
            "flags": packets.Flag.IDEMPOTENT if idempotent else 0,
        }
        values.update(fields)
        return self.send(
            packets.Kind.REQUEST, flow_id, token, request_id, **values
        )

    def answer(
        self, body: bytes = b"answer", boot_id: str = "a"
    ) -> list[packets.Packet]:
        """Answers the request started last, as its target."""
        key = self.started[-1].key
        self.handle(actions.TargetAnswered(key, body, boot_id))
        return self.replies()

    def fail(
        self, started: bool, connection_lost: bool = False
    ) -> list[packets.Packet]:
        """Reports that the request started last failed at its target."""
        key = self.started[-1].key
        self.handle(actions.TargetFailed(key, started, connection_lost))
        return self.replies()


class AgentTestCase(unittest.TestCase):
    """Base class of tests of an agent with one slot and one open flow."""

    def setUp(self) -> None:
        self.driver = AgentDriver()
        self.token = self.driver.open(11)

    def request(
        self, request_id: int = 1, token: bytes = b"", **fields: Any
    ) -> list[packets.Packet]:
        token = token or self.token
        return self.driver.request(11, token, request_id, **fields)

    def send(
        self,
        kind: packets.Kind,
        request_id: int = 0,
        payload: bytes = b"",
        token: bytes = b"",
    ) -> list[packets.Packet]:
        token = token or self.token
        return self.driver.send(kind, 11, token, request_id, payload=payload)

    def load(self) -> target_stats.Load:
        return self.driver.agent.load(self.driver.now)

    def assert_outcome(
        self,
        replies: list[packets.Packet],
        reason: str,
        verdict: str = "",
        kind: str = "STATUS",
    ) -> None:
        """Checks the only reply; an empty verdict means that it has none."""
        (reply,) = replies
        actual = packets.verdict_of(reply)
        self.assertEqual(
            (kind, reason, verdict),
            (
                reply.kind.name,
                reply.reason.name,
                actual.name if actual else "",
            ),
        )
