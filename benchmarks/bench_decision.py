"""Measures the time of a balancer decision relative to a baseline.

Run as ``python -m benchmarks.bench_decision``. The baseline is a function
call that unpacks the header of a packet, measured in the same run. Each figure
is the lowest of many short rounds, each of which measures all rows in turn.
This leaves out most of the interference by other processes on the machine.
"""

from collections.abc import Iterator
import struct
import sys
import time

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import routing
from godwitturn.core import target_stats
from godwitturn.core import token as tokens
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.standins import naive

ROUNDS = 60
PACKETS = 1000
TARGET_COUNTS = (10, 100)
LARGE_TARGET_COUNT = 3700  # the planned size of a deployment
PAYLOAD_BYTES = 200
BALANCER_ID = 77
SERVICE_ID = 1
CALLER = addresses.Address("127.0.0.9", 9999)
KEY = tokens.TokenKey(0, SERVICE_ID, b"k" * 32)
Subject = balancer.Balancer | naive.NaiveBalancer
HEADER = struct.Struct("!BBBBHQIHHI32s")


def _unpack_header(
    event: actions.BalancerEvent, *, now: float
) -> list[actions.BalancerAction]:
    HEADER.unpack_from(event.data)  # type: ignore[union-attr]
    return []


def _make_targets(count: int) -> list[routing.Target]:
    return [
        routing.Target(
            member_id,
            SERVICE_ID,
            f"dc{member_id % 3}",
            addresses.Address("127.0.0.1", 10000 + member_id),
            member_id.to_bytes(32, "big"),
        )
        for member_id in range(1, count + 1)
    ]


def _configure(
    subject: Subject,
    targets: list[routing.Target],
) -> None:
    table = routing.RoutingTable.from_targets(1, targets)
    subject.handle(actions.RoutingChanged(table), now=0.0)
    subject.handle(actions.FenceChanged(False), now=0.0)


def _make_balancer(
    targets: list[routing.Target], *, skips_all: bool = False
) -> balancer.Balancer:
    subject = balancer.Balancer(
        member_id=BALANCER_ID, token_keys=[KEY], seed=1
    )
    _configure(subject, targets)
    for target in targets:
        load = target_stats.Load(target.member_id, 2000, 1, 0, 1000)
        subject.target_stats.record(target.member_id, load, 0.0)
        if skips_all:
            subject.target_stats.opening_returned(target.member_id, load, 0.0)
    return subject


def _make_naive_balancer(targets: list[routing.Target]) -> naive.NaiveBalancer:
    subject = naive.NaiveBalancer(
        member_id=BALANCER_ID, token_keys=[KEY], seed=1
    )
    _configure(subject, targets)
    return subject


def _flow_ids() -> Iterator[int]:
    flow_id = 1
    for _ in range(PACKETS):
        flow_id = (flow_id * 6364136223846793005 + 1442695040888963407) % 2**64
        yield flow_id


def _established_packet(
    target_id: int, flow_id: int, payload_bytes: int = PAYLOAD_BYTES
) -> bytes:
    token = tokens.Token(0, SERVICE_ID, target_id, 5, 6, 7)
    return packets.encode(
        packets.Packet(
            packets.Kind.REQUEST,
            SERVICE_ID,
            flow_id,
            tokens.seal(token, flow_id, KEY),
            1,
            0,
            1,
            payload=bytes(payload_bytes),
        )
    )


def _opening_packet(flow_id: int) -> bytes:
    return packets.encode(
        packets.Packet(
            packets.Kind.OPEN,
            SERVICE_ID,
            flow_id,
            payload=bytes(packets.OPEN_PAYLOAD_BYTES),
        )
    )


def _answer_packet(target: routing.Target, flow_id: int) -> bytes:
    load = target_stats.Load(5, 2000, 1, 0, 1000)
    inner = packets.Packet(
        packets.Kind.ANSWER, SERVICE_ID, flow_id, payload=bytes(PAYLOAD_BYTES)
    )
    message = encapsulation.Message(
        encapsulation.Kind.RETURN,
        target.member_id,
        BALANCER_ID,
        1,
        CALLER,
        packets.encode(inner),
        load=load,
    )
    return encapsulation.encode(message, target.pair_key)


@attrs.define
class Row:
    """One row of the table.

    Attributes:
        name: Title of the row, the kind of decision.
        target_count: Number of targets; 0 for the baseline.
        subject: The balancer, or None for the baseline.
        events: Events that it handles in one round.
        lowest_us: Lowest mean time of a decision in a round so far, in
            microseconds.
    """

    name: str
    target_count: int
    subject: Subject | None
    events: list[actions.BalancerEvent]
    lowest_us: float = float("inf")

    def measure(self) -> None:
        """Measures one round and updates `lowest_us`."""
        handle = (
            _unpack_header if self.subject is None else self.subject.handle
        )
        started = time.perf_counter()
        for event in self.events:
            handle(event, now=0.1)
        elapsed_s = time.perf_counter() - started
        self.lowest_us = min(
            self.lowest_us, elapsed_s / len(self.events) * 1e6
        )


def _rows(count: int) -> Iterator[Row]:
    flow_ids = list(_flow_ids())
    targets = _make_targets(count)

    def established_events(payload_bytes: int) -> list[actions.BalancerEvent]:
        return [
            actions.CallerDatagram(
                CALLER,
                _established_packet(1 + n % count, flow_id, payload_bytes),
            )
            for n, flow_id in enumerate(flow_ids)
        ]

    openings: list[actions.BalancerEvent] = [
        actions.CallerDatagram(CALLER, _opening_packet(flow_id))
        for flow_id in flow_ids
    ]
    answers: list[actions.BalancerEvent] = [
        actions.AgentDatagram(
            CALLER, _answer_packet(targets[n % count], flow_id)
        )
        for n, flow_id in enumerate(flow_ids)
    ]
    short_packets = established_events(PAYLOAD_BYTES)
    full_packets = established_events(packets.MAX_PAYLOAD_BYTES)
    subject = _make_balancer(targets)
    yield Row("established", count, subject, short_packets)
    yield Row("established, full packet", count, subject, full_packets)
    yield Row("opening", count, subject, openings)
    yield Row("return", count, subject, answers)
    skipping = _make_balancer(targets, skips_all=True)
    yield Row("opening, all skipped", count, skipping, openings)
    yield Row(
        "naive established",
        count,
        _make_naive_balancer(targets),
        short_packets,
    )
    yield Row("naive opening", count, _make_naive_balancer(targets), openings)
    targets[0].weight = 0.5
    weighted = _make_balancer(targets)
    yield Row("opening, unequal weights", count, weighted, openings)


def main() -> None:
    """Prints a table of all figures."""
    rows = [row for count in TARGET_COUNTS for row in _rows(count)]
    baseline = Row("baseline", 0, None, rows[0].events)
    targets = _make_targets(LARGE_TARGET_COUNT)
    table = routing.RoutingTable.from_targets(2, targets)
    table_change = actions.RoutingChanged(table)
    subject = _make_balancer(targets)
    rows.append(
        Row("table change", LARGE_TARGET_COUNT, subject, [table_change])
    )
    for _ in range(ROUNDS):
        for row in (baseline, *rows):
            row.measure()
    print(f"Python {sys.version.split()[0]}, {PAYLOAD_BYTES} B of payload")
    print(f"{'decision':<24} {'targets':>7} {'us':>8} {'ratio':>7}")
    for row in (baseline, *rows):
        ratio = row.lowest_us / baseline.lowest_us
        print(
            f"{row.name:<24} {row.target_count or '':>7} "
            f"{row.lowest_us:>8.2f} {ratio:>7.1f}"
        )


if __name__ == "__main__":
    main()
