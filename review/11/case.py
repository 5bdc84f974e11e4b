"""New flows run at a service that their route never had."""

import asyncio
import pathlib
import signal
import sys

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent))

import harness_3 as harness  # noqa: E402

SUBMIT = ("198.18.0.1", 8080)
PORTS = range(40001, 40061)
# Seconds for which clients use their first flows before they close them.
USE_S = 22.0
# Half of the ports are used again this time after the first flow was opened,
# which is longer than flow_ttl_s, the others this time after it was closed.
AFTER_OPENING_S = 62.0
AFTER_CLOSING_S = 60.2


async def _open_again(
    clients: harness.Clients, ports: list[int]
) -> list[harness.ClientFlow]:
    """Opens new flows from used ports, with a request on each."""
    flows = [clients.flow(port, SUBMIT) for port in ports]
    opened = await asyncio.gather(*(flow.open() for flow in flows))
    await asyncio.gather(
        *(
            flow.request(f"{flow.flow[1]}/second/1")
            for flow, is_open in zip(flows, opened, strict=True)
            if is_open
        )
    )
    return flows


async def case(deployment: harness.Deployment) -> bool:
    """Returns whether the rule ROUTE was broken."""
    record = deployment.record
    await deployment.store.put(
        "op/config",
        harness.configuration(
            1,
            [
                harness.route("submit", 8080, "submit"),
                harness.route("cards", 8443, "cards"),
            ],
            ["submit", "cards"],
        ),
    )
    for number in range(3):
        deployment.add(f"edge-{number + 1}", "balancer", 10 + number, "zone-1")
    for number in range(4):
        deployment.add(
            f"side-{number + 1}", "agent", 50 + number, "zone-1", "submit"
        )
    deployment.add("side-5", "agent", 54, "zone-1", "cards")
    (clients,) = await deployment.start_all(["zone-1"])

    first = [clients.flow(port, SUBMIT) for port in PORTS]
    await asyncio.gather(*(flow.use(USE_S, "first") for flow in first))
    await asyncio.gather(*(flow.close() for flow in first))
    closed_at = record.now
    opened_at = max(flow.opened_at or 0.0 for flow in first)

    victim = deployment.machines["side-1"]
    if harness.in_trouble():
        record.write("side-1 and its endpoint crash for good")
        victim.endpoint.end()
        await deployment.stop(victim, signal.SIGKILL)
        await asyncio.sleep(harness.BOUNDS["reuse_after_s"] + 0.5)
        record.write("the address goes to an endpoint of cards")
        successor = deployment.add("side-6", "agent", 50, "zone-1", "cards")
        await deployment.start(successor)
        await deployment.start_endpoint(successor)

    second = []
    for again_at, ports in (
        (opened_at + AFTER_OPENING_S, PORTS[0::2]),
        (closed_at + AFTER_CLOSING_S, PORTS[1::2]),
    ):
        await asyncio.sleep(again_at - record.now)
        record.write("clients use half of their ports again, for new flows")
        second += await _open_again(clients, list(ports))

    by_seq = {flow.seq: flow for flow in second}
    foreign = [
        taken
        for taken in deployment.taken
        if taken.seq in by_seq and taken.endpoint.service != "submit"
    ]
    soon = sum(taken.flow[1] in PORTS[0::2] for taken in foreign)
    record.write(
        f"{sum(flow.opened_at is not None for flow in second)} of "
        f"{len(second)} new flows opened; endpoints of cards, which the route "
        f"never had, took {soon} openings {AFTER_OPENING_S} s after the first "
        f"flow was opened and {len(foreign) - soon} openings "
        f"{AFTER_CLOSING_S} s after it was closed"
    )
    return bool(foreign)


if __name__ == "__main__":
    harness.main(str(DIRECTORY), case)
