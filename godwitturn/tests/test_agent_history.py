"""Checks generated histories of two flows across restarts of their agent.

The network loses, repeats and reorders packets in both directions. Callers
send a request that is not idempotent only under the incarnation and epoch of
its first transmission.
"""

import collections
from typing import Any
import unittest
from unittest import mock

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import requests
from godwitturn.core import token as tokens
from godwitturn.protocol import packet as packets
from godwitturn.tests import agent_driver

Kind = packets.Kind
_KEYS = tokens.keys_by_id([agent_driver.TOKEN_KEY])
_FLOW_IDS = (11, 12)
_PICK = strategies.integers(0, 1 << 16)
_FLAG = strategies.booleans()
_FATE = strategies.sampled_from(("move", "repeat", "lose"))


def _one_of(*values: Any) -> strategies.SearchStrategy[Any]:
    return strategies.sampled_from(values)


@attrs.define
class Caller:
    """The state of one flow at its caller."""

    flow_id: int
    address: addresses.Address = agent_driver.CALLER
    token: bytes = tokens.EMPTY
    last_id: int = 0

    def generation(self) -> Any:
        token = tokens.unseal(self.token, self.flow_id, _KEYS)
        return token and (token.incarnation, token.epoch)


class AgentHistory(stateful.RuleBasedStateMachine):
    """An agent, its target, two callers and an unreliable network."""

    def __init__(self) -> None:
        super().__init__()
        self.callers = {n: Caller(n) for n in _FLOW_IDS}
        self.to_agent: list[tuple[bytes, addresses.Address]] = []
        self.to_callers: list[packets.Packet] = []
        # Packets that may be delivered again, long after the first time.
        self.sent: list[tuple[bytes, addresses.Address]] = []
        # By flow id and request id: number of fragments, whether idempotent,
        # generation of the token.
        self.requests: dict[tuple[int, int], tuple[int, bool, Any]] = {}
        self.runs: collections.Counter[tuple[int, int]] = collections.Counter()
        self.not_run: set[tuple[int, int]] = set()
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.driver = agent_driver.AgentDriver(
            incarnation=self.incarnation, slots=2, connection_limit=8
        )
        self.running: list[actions.StartRequest] = []

    def check(self) -> None:
        """Checks and records the actions that followed the last event."""
        for start in self.driver.started:
            request_key = (start.key.flow_id, start.key.request_id)
            self.running.append(start)
            assert len(self.running) <= self.driver.policy.slots
            assert start.body == self.body_of(request_key)
            if not start.idempotent:
                assert not self.runs[request_key], (
                    "a request was started twice"
                )
                assert request_key not in self.not_run, (
                    "a request was started after the verdict NOT_RUN"
                )
                self.runs[request_key] += 1
        self.driver.started = []
        for reply in self.driver.replies():
            request_key = (reply.flow_id, reply.request_id)
            if reply.kind == Kind.ANSWER:
                body = b"answer to " + self.body_of(request_key)
                assert reply.payload == body, (
                    "the answer belongs to another request"
                )
            elif reply.flags & packets.Flag.NOT_RUN and (
                not self.requests[request_key][1]
            ):
                assert not self.runs[request_key], (
                    "a request that ran got the verdict NOT_RUN"
                )
                self.not_run.add(request_key)
            self.to_callers.append(reply)

    def body_of(self, request_key: tuple[int, int]) -> bytes:
        count = self.requests[request_key][0]
        return b"".join(b"%d.%d.%d" % (*request_key, n) for n in range(count))

    def send(self, caller: Caller, kind: packets.Kind, **fields: Any) -> None:
        token = tokens.EMPTY if kind == Kind.OPEN else caller.token
        packet = packets.Packet(kind, 7, caller.flow_id, token, **fields)
        datagram = (packets.encode(packet), caller.address)
        self.to_agent.append(datagram)
        if kind in (Kind.REQUEST, Kind.CANCEL):
            self.sent.append(datagram)

    def deliver(self, data: bytes, address: addresses.Address) -> None:
        self.driver.deliver(data, caller=address)
        self.check()

    def handle(self, event: actions.AgentEvent) -> None:
        self.driver.handle(event)
        self.check()

    def caller(self, pick: int) -> Caller:
        return self.callers[_FLOW_IDS[pick % len(_FLOW_IDS)]]

    def open_flow(self, caller: Caller) -> None:
        self.send(caller, Kind.OPEN, payload=agent_driver.OPEN_PAYLOAD)

    @stateful.initialize()
    def open_flows(self) -> None:
        for caller in self.callers.values():
            self.open_flow(caller)
        self.network_delivers_all()

    @stateful.rule(
        pick=_PICK,
        form=strategies.tuples(strategies.integers(1, 2), _FLAG),
        deadline_ms=_one_of(5000, 60_000, 5000, 60_000, 300, 0),
        prompt=_FLAG,
    )
    def new_request(
        self, pick: int, form: tuple[int, bool], deadline_ms: int, prompt: bool
    ) -> None:
        caller = self.caller(pick)
        caller.last_id += 1
        request_key = (caller.flow_id, caller.last_id)
        self.requests[request_key] = (*form, caller.generation())
        self.send_request(caller, caller.last_id, deadline_ms)
        if prompt:
            self.network_delivers_all()

    @stateful.rule(pick=_PICK)
    def undisturbed_request(self, pick: int) -> None:
        self.new_request(pick, (1, False), 60_000, True)

    def send_request(
        self, caller: Caller, number: int, deadline_ms: int = 5000
    ) -> None:
        count, idempotent, first = self.requests[(caller.flow_id, number)]
        if not idempotent and first != caller.generation():
            return
        for index in range(count):
            self.send(
                caller,
                Kind.REQUEST,
                request_id=number,
                fragment=index,
                fragments=count,
                deadline_ms=deadline_ms,
                flags=packets.Flag.IDEMPOTENT if idempotent else 0,
                payload=b"%d.%d.%d" % (caller.flow_id, number, index),
            )

    @stateful.rule(
        pick=_PICK,
        number=_PICK,
        kind=_one_of(Kind.REQUEST, Kind.POLL, Kind.ACK, Kind.CANCEL),
        delivery=_one_of("all", "first", "later"),
    )
    def repeat(
        self, pick: int, number: int, kind: packets.Kind, delivery: str
    ) -> None:
        caller = self.caller(pick)
        if not caller.last_id:
            return
        number = caller.last_id - number % min(4, caller.last_id)
        if kind == Kind.REQUEST:
            self.send_request(caller, number)
        else:
            self.send(caller, kind, request_id=number)
        if delivery == "all":
            self.network_delivers_all()
        elif delivery == "first" and self.to_agent:
            self.deliver(*self.to_agent.pop())

    @stateful.rule(pick=_PICK)
    def keep_alive(self, pick: int) -> None:
        self.send(self.caller(pick), Kind.KEEPALIVE)

    @stateful.rule(pick=_PICK, prompt=_FLAG)
    def close_and_open(self, pick: int, prompt: bool) -> None:
        self.send(self.caller(pick), Kind.CLOSE)
        self.open_flow(self.caller(pick))
        if prompt:
            self.network_delivers_all()

    @stateful.rule(pick=_PICK, port=strategies.integers(6000, 6002))
    def move_caller(self, pick: int, port: int) -> None:
        self.caller(pick).address = addresses.Address("127.0.0.1", port)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(pick=_PICK)
    def late_packet(self, pick: int) -> None:
        self.deliver(*self.sent[-1 - pick % min(8, len(self.sent))])

    @stateful.precondition(lambda self: self.to_agent)
    @stateful.rule(pick=_PICK, fate=_FATE)
    def network_to_agent(self, pick: int, fate: str) -> None:
        datagram = self.to_agent.pop(pick % len(self.to_agent))
        if fate == "repeat":
            self.to_agent.append(datagram)
        if fate != "lose":
            self.deliver(*datagram)

    @stateful.precondition(lambda self: self.to_callers)
    @stateful.rule(pick=_PICK, fate=_FATE)
    def network_to_caller(self, pick: int, fate: str) -> None:
        reply = self.to_callers.pop(pick % len(self.to_callers))
        if fate == "repeat":
            self.to_callers.append(reply)
        if fate != "lose":
            self.receive(reply)

    @stateful.rule()
    def network_delivers_all(self) -> None:
        waiting, self.to_agent = self.to_agent, []
        for datagram in waiting:
            self.deliver(*datagram)
        while self.to_callers:
            self.receive(self.to_callers.pop(0))

    def receive(self, reply: packets.Packet) -> None:
        caller = self.callers[reply.flow_id]
        if reply.kind in (Kind.ACCEPT, Kind.RENEW):
            caller.token = reply.token
        elif reply.kind == Kind.RESET:
            self.open_flow(caller)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        event=_one_of("answer", "failed", "refused", "shed", "reset")
    )
    def target_ends_all(self, event: str) -> None:
        for _ in range(len(self.running)):
            self.target_ends_one(0, event)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        pick=_PICK,
        event=_one_of(
            "answer", "reboot", "failed", "refused", "shed", "reset"
        ),
    )
    def target_ends_one(self, pick: int, event: str) -> None:
        start = self.running.pop(pick % len(self.running))
        key = start.key
        if event in ("answer", "reboot"):
            body = b"answer to " + start.body
            self.handle(actions.TargetAnswered(key, body, event))
            return
        if event in ("refused", "shed") and not start.idempotent:
            self.runs[(key.flow_id, key.request_id)] -= 1
        started = event in ("failed", "reset")
        lost = event in ("refused", "reset")
        self.handle(actions.TargetFailed(key, started, lost))

    @stateful.rule(seconds=_one_of(0, 0.1, 0.1, 1, 1, 1, 4, 4, 70))
    def time_passes(self, seconds: float) -> None:
        self.driver.now += seconds
        self.handle(actions.Tick())

    @stateful.rule(slots=strategies.integers(1, 3))
    def change_slots(self, slots: int) -> None:
        if slots >= len(self.running):
            self.change_policy(slots=slots)

    @stateful.rule(
        condition=_one_of(
            "", "", "", "", "draining", "data_centre_out", "fenced"
        )
    )
    def change_conditions(self, condition: str) -> None:
        self.change_policy(
            draining=condition == "draining",
            data_centre_out=condition == "data_centre_out",
        )
        self.handle(actions.FenceChanged(condition == "fenced"))

    def change_policy(self, **changes: Any) -> None:
        self.driver.change_policy(**changes)
        self.check()

    @stateful.rule(prompt=_FLAG)
    def restart_agent(self, prompt: bool) -> None:
        now = self.driver.now
        self.start()
        self.driver.now = now
        if prompt:
            for pick in range(len(_FLOW_IDS)):
                self.keep_alive(pick)
            self.network_delivers_all()

    @stateful.invariant()
    def counters_match_the_tables(self) -> None:
        state = self.driver.agent._state
        flows = state.flow_table.flow_by_id.values()
        reserved = sum(not flow.confirmed for flow in flows)
        assert state.flow_table.reservations == reserved
        assert len(state.admission.running) == len(self.running)
        total: collections.Counter[str] = collections.Counter()
        for flow_requests in filter(
            None, (flow.flow_requests for flow in flows)
        ):
            entries = flow_requests.entry_by_id.values()
            live = [e for e in entries if isinstance(e, requests.Request)]
            states = collections.Counter(e.state.name for e in live)
            unfinished_count = states["QUEUED"] + states["RUNNING"]
            buffered_bytes = sum(e.buffered_bytes for e in live)
            assert (len(live), unfinished_count, buffered_bytes) == (
                flow_requests.live_count,
                flow_requests.unfinished_count,
                flow_requests.buffered_bytes,
            )
            total.update(states)
            total.update(
                buffered_bytes=buffered_bytes, ended=len(entries) - len(live)
            )
        table = state.request_table
        assert (total["buffered_bytes"], total["ended"]) == (
            table.buffered_bytes,
            table.ended_count,
        )
        assert (total["RECEIVING"], total["DONE"]) == (
            table.receiving_count,
            table.answer_count,
        )


class TestHistory(unittest.TestCase):
    """Guards against double runs, false NOT_RUN and exceeded slots."""

    # Few verdicts are stored, so that short histories exceed the limit.
    @mock.patch.object(requests, "MAX_ENDED_PER_FLOW", 3)
    def test_generated_histories_keep_the_guarantees(self) -> None:
        stateful.run_state_machine_as_test(
            AgentHistory,
            settings=hypothesis.settings(
                max_examples=300, stateful_step_count=80, deadline=None
            ),
        )
