"""One run of the soak."""

import pathlib
import random
import tempfile

from godwitturn.daemons import reactor
from godwitturn.soak import clients
from godwitturn.soak import deployment
from godwitturn.soak import faults
from godwitturn.soak import history as histories
from godwitturn.soak import targets

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


def soak(
    seed: int,
    seconds: float,
    *,
    logs: pathlib.Path | None = None,
    restores: bool = False,
    planned_only: bool = False,
    reuse_ports: bool = False,
) -> histories.History:
    """Runs a soak.

    Args:
        seed: Seed of faults and load. Runs of one seed still differ slightly,
            because the operating system schedules the processes.
        seconds: Duration of the load.
        logs: Directory for logs and settings; if None, they are deleted at
            the end.
        restores: Whether the store is also restored from backups.
        planned_only: Whether to leave out faults that aren't planned.
        reuse_ports: Whether clients use their ports again.

    Returns:
        The injected faults and the events of clients and targets.

    Raises:
        RuntimeError: The balancers are not ready within `START_TIMEOUT_S`.
    """
    generator = random.Random(seed)
    history = histories.History(seconds)
    with tempfile.TemporaryDirectory() as temporary:
        directory = logs or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        loop = reactor.Reactor()
        # Concurrent runs must not share addresses, even with the same seed.
        address_generator = random.SystemRandom()
        subnet = (
            f"127.{address_generator.randint(1, 254)}"
            f".{address_generator.randint(0, 254)}"
        )
        system = deployment.Deployment(loop, history, directory, subnet)
        try:
            _run(
                system,
                subnet,
                generator,
                restores=restores,
                planned_only=planned_only,
                reuse_ports=reuse_ports,
            )
        finally:
            system.close()
    return history


def _run(
    system: deployment.Deployment,
    subnet: str,
    generator: random.Random,
    *,
    restores: bool,
    planned_only: bool,
    reuse_ports: bool,
) -> None:
    loop = system.loop
    history = system.history
    for member in system.members:
        system.start(member)
    all_targets = [
        targets.Target(loop, history, member) for member in system.agents
    ]
    router = clients.Router(loop, system.balancers)
    started_at = loop.now
    client_groups: list[clients.Clients] = []

    def stop() -> None:
        loop.stopped = True

    def begin_when_ready() -> None:
        if router.ready_count < len(system.balancers):
            if loop.now - started_at < START_TIMEOUT_S:
                loop.call_later(POLL_INTERVAL_S, begin_when_ready)
                return
            stop()
            return
        history.began_at = loop.now
        for number, name in enumerate(deployment.DATA_CENTRES):
            client_groups.append(
                clients.Clients(
                    loop,
                    history,
                    router,
                    f"{subnet}.{100 + number}",
                    name,
                    generator,
                    reuse_ports=reuse_ports,
                )
            )
        injector = faults.Injector(system, all_targets)
        injector.schedule(
            faults.schedule(
                generator,
                history.seconds,
                restores=restores,
                planned_only=planned_only,
            )
        )
        loop.call_every(POLL_INTERVAL_S, system.restart_exited)
        loop.call_later(history.seconds, stop)

    loop.call_later(POLL_INTERVAL_S, begin_when_ready)
    loop.run()
    history.outdated_members += system.outdated_members()
    for group in client_groups:
        group.close()
    for target in all_targets:
        target.stop()
    if not history.began_at:
        raise RuntimeError(
            f"{router.ready_count} balancers are ready after "
            f"{START_TIMEOUT_S} s; expected {len(system.balancers)}"
        )
