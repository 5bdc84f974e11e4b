"""Balancers that know a new agent only by its address lift its cold limit."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

HOST, PORT = "198.18.0.1", 443
ZONES = ("a", "b", "c")
COLD_PER_S = 4.0
COLD_START_S = 2.0
LIMIT = (
    COLD_PER_S * standins.BOUNDS["cold_overshoot"]
    + standins.BOUNDS["cold_slack"]
)
NEW_ENDPOINTS = 7
ROUND_S = 3.0
SHORT_FLOWS_PER_S = 40.0
SESSIONS = 40


async def serve_flow(clients: standins.Clients, counts: list[int]) -> None:
    """Opens a flow for one request."""
    flow = clients.new_flow(HOST, PORT)
    text = f"{clients.zone}-{flow.key[1]}"
    answered = await flow.open() and await flow.request(text, deadline_s=1.2)
    counts[bool(answered)] += 1
    flow.close()


async def send_flows(clients: standins.Clients, counts: list[int]) -> None:
    """Opens flows at a rate until cancelled."""
    tasks = set()
    while True:
        task = asyncio.create_task(serve_flow(clients, counts))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / SHORT_FLOWS_PER_S)


async def hold_session(clients: standins.Clients) -> None:
    """Keeps a flow open, with a request now and then, until cancelled."""
    flow = clients.new_flow(HOST, PORT)
    number = 0
    while not flow.reset and (flow.is_open or await flow.open()):
        number += 1
        text = f"{clients.zone}-{flow.key[1]}-{number}"
        await flow.request(text, deadline_s=1.2)
        await asyncio.sleep(random.uniform(2.0, 4.0))


async def scenario(deployment: standins.Deployment, trouble: bool) -> str:
    """Adds endpoints one after the other beside two that hold sessions."""
    await deployment.start(ZONES)
    balancers = [
        deployment.add_daemon(
            f"edge-{zone}-{number}",
            "balancer",
            11 + 2 * index + number,
            zone,
        )
        for index, zone in enumerate(ZONES)
        for number in range(2)
    ]
    deployment.seeds = [balancer.address for balancer in balancers[::2]]
    for number, zone in enumerate(ZONES[:2]):
        deployment.add_daemon(
            f"side-{zone}", "agent", 31 + number, zone, "core"
        )
    await deployment.configure(
        [standins.service_route(HOST, PORT, "core")],
        ("core",),
        cold_per_s=COLD_PER_S,
        cold_start_s=COLD_START_S,
    )

    async def start_endpoint(agent: standins.Daemon, *, cold: bool) -> None:
        endpoint = standins.Endpoint(
            deployment,
            agent.name.replace("side", "core"),
            "core",
            agent.zone,
            agent.address,
            cold_start_s=COLD_START_S,
        )
        deployment.endpoints.append(endpoint)
        await endpoint.start(cold=cold)

    for daemon in list(deployment.daemons):
        deployment.start_daemon(daemon)
        if daemon.role == "agent":
            await start_endpoint(daemon, cold=False)
    if not await deployment.wait_until_ready():
        raise standins.CannotRunError("balancers aren't ready")
    await asyncio.sleep(1.0)
    counts = [0, 0]
    traffic = [
        asyncio.create_task(send_flows(clients, counts))
        for clients in deployment.clients_by_zone.values()
    ]
    traffic += [
        asyncio.create_task(hold_session(clients))
        for clients in deployment.clients_by_zone.values()
        for _ in range(SESSIONS)
    ]
    for number in range(NEW_ENDPOINTS):
        await asyncio.sleep(random.uniform(1.0, 2.0))
        if trouble:
            agent = deployment.add_daemon(
                f"side-c-{number}", "agent", 41 + number, "c", "core"
            )
            deployment.start_daemon(agent)
            await start_endpoint(agent, cold=True)
        await asyncio.sleep(ROUND_S)
        if trouble:
            # It leaves again, so that the next one finds the same load.
            await deployment.endpoints[-1].leave()
            await deployment.stop_daemon(agent)
    for task in traffic:
        task.cancel()
    deployment.record.write(f"answered {counts[1]}, not answered {counts[0]}")
    return standins.failback_result(deployment, LIMIT, counts)


if __name__ == "__main__":
    standins.main(scenario)
