"""Time of one balancer decision, as a ratio to a baseline of the same run.

Run as ``python -m benchmarks.bench_decision``. The baseline is a function
call that unpacks the header of a packet. Each figure is the lowest of many
short rounds that measure all rows in turn, which leaves out most of what else
the machine did meanwhile.
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
LARGE_TARGETS = 3700  # the size that section 1.5 of the design names
PAYLOAD_BYTES = 200
BALANCER_ID = 77
SERVICE_ID = 1
CALLER = addresses.Address("127.0.0.9", 9999)
KEY = tokens.TokenKey(0, SERVICE_ID, b"k" * 32)
Subject = balancer.Balancer | naive.NaiveBalancer
HEADER = struct.Struct("!BBBBHQIHHI32s")


def _baseline(
    event: actions.BalancerEvent, *, now: float
) -> list[actions.BalancerAction]:
    HEADER.unpack_from(event.data)  # type: ignore[union-attr]
    return []


def _targets(count: int) -> list[routing.Target]:
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


def _start(
    subject: Subject,
    targets: list[routing.Target],
) -> None:
    table = routing.RoutingTable.from_targets(1, targets)
    subject.handle(actions.RoutingChanged(table), now=0.0)
    subject.handle(actions.FenceChanged(False), now=0.0)


def _balancer(
    targets: list[routing.Target], *, skipped: bool = False
) -> balancer.Balancer:
    subject = balancer.Balancer(
        member_id=BALANCER_ID, token_keys=[KEY], seed=1
    )
    _start(subject, targets)
    for target in targets:
        load = target_stats.Load(target.member_id, 2000, 1, 0, 1000)
        subject.target_stats.record(target.member_id, load, 0.0)
        if skipped:
            subject.target_stats.opening_returned(target.member_id, load, 0.0)
    return subject


def _naive(targets: list[routing.Target]) -> naive.NaiveBalancer:
    subject = naive.NaiveBalancer(
        member_id=BALANCER_ID, token_keys=[KEY], seed=1
    )
    _start(subject, targets)
    return subject


def _flow_ids() -> Iterator[int]:
    flow_id = 1
    for _ in range(PACKETS):
        flow_id = (flow_id * 6364136223846793005 + 1442695040888963407) % 2**64
        yield flow_id


def _established(
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


def _opening(flow_id: int) -> bytes:
    return packets.encode(
        packets.Packet(
            packets.Kind.OPEN,
            SERVICE_ID,
            flow_id,
            payload=bytes(packets.OPEN_PAYLOAD_BYTES),
        )
    )


def _answer(target: routing.Target, flow_id: int) -> bytes:
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
    """One line of the table.

    Attributes:
        name: What is decided.
        count: Count of targets.
        subject: The balancer, or None for the baseline.
        events: What it decides on.
        lowest_us: Lowest time of one decision so far.
    """

    name: str
    count: int
    subject: Subject | None
    events: list[actions.BalancerEvent]
    lowest_us: float = float("inf")

    def measure(self) -> None:
        """Runs one round."""
        handle = _baseline if self.subject is None else self.subject.handle
        started = time.perf_counter()
        for event in self.events:
            handle(event, now=0.1)
        taken = time.perf_counter() - started
        self.lowest_us = min(self.lowest_us, taken / len(self.events) * 1e6)


def _rows(count: int) -> Iterator[Row]:
    flow_ids = list(_flow_ids())
    targets = _targets(count)

    def established(payload_bytes: int) -> list[actions.BalancerEvent]:
        return [
            actions.CallerDatagram(
                CALLER, _established(1 + n % count, flow_id, payload_bytes)
            )
            for n, flow_id in enumerate(flow_ids)
        ]

    openings: list[actions.BalancerEvent] = [
        actions.CallerDatagram(CALLER, _opening(flow_id))
        for flow_id in flow_ids
    ]
    answers: list[actions.BalancerEvent] = [
        actions.AgentDatagram(CALLER, _answer(targets[n % count], flow_id))
        for n, flow_id in enumerate(flow_ids)
    ]
    short = established(PAYLOAD_BYTES)
    full = established(packets.MAX_PAYLOAD_BYTES)
    subject = _balancer(targets)
    yield Row("established", count, subject, short)
    yield Row("established, full packet", count, subject, full)
    yield Row("opening", count, subject, openings)
    yield Row("return", count, subject, answers)
    skipped = _balancer(targets, skipped=True)
    yield Row("opening, all skipped", count, skipped, openings)
    yield Row("naive established", count, _naive(targets), short)
    yield Row("naive opening", count, _naive(targets), openings)
    targets[0].weight = 0.5
    weighted = _balancer(targets)
    yield Row("opening, unequal weights", count, weighted, openings)


def main() -> None:
    """Prints a table of all figures."""
    rows = [row for count in TARGET_COUNTS for row in _rows(count)]
    baseline = Row("baseline", 0, None, rows[0].events)
    targets = _targets(LARGE_TARGETS)
    table = routing.RoutingTable.from_targets(2, targets)
    change = actions.RoutingChanged(table)
    subject = _balancer(targets)
    rows.append(Row("table change", LARGE_TARGETS, subject, [change]))
    for _ in range(ROUNDS):
        for row in (baseline, *rows):
            row.measure()
    print(f"Python {sys.version.split()[0]}, {PAYLOAD_BYTES} B of payload")
    print(f"{'decision':<24} {'targets':>7} {'us':>8} {'ratio':>7}")
    for row in (baseline, *rows):
        ratio = row.lowest_us / baseline.lowest_us
        print(
            f"{row.name:<24} {row.count or '':>7} "
            f"{row.lowest_us:>8.2f} {ratio:>7.1f}"
        )


if __name__ == "__main__":
    main()
