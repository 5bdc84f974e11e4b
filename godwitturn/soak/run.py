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

START_LIMIT_S = 30.0
WATCH_S = 0.1


def soak(
    seed: int, seconds: float, *, logs: pathlib.Path | None = None
) -> histories.History:
    """Runs a soak.

    Args:
        seed: Seed of faults and load. Processes take their turns as the
            machine lets them, so two runs of a seed aren't quite the same.
        seconds: How long the load lasts.
        logs: Where logs and settings are kept, None to drop them.

    Returns:
        What was seen.

    Raises:
        RuntimeError: If the system doesn't start.
    """
    draws = random.Random(seed)
    history = histories.History(seconds)
    with tempfile.TemporaryDirectory() as temporary:
        directory = logs or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        loop = reactor.Reactor()
        # Runs side by side must not share addresses, also of one seed.
        places = random.SystemRandom()
        subnet = f"127.{places.randint(1, 254)}.{places.randint(0, 254)}"
        system = deployment.Deployment(loop, history, directory, subnet)
        try:
            _play(system, subnet, draws)
        finally:
            system.close()
    return history


def _play(
    system: deployment.Deployment, subnet: str, draws: random.Random
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
    groups: list[clients.Clients] = []

    def stop() -> None:
        loop.stopped = True

    def begin() -> None:
        if router.ready < len(system.balancers):
            if loop.now - started_at < START_LIMIT_S:
                loop.call_later(WATCH_S, begin)
                return
            stop()
            return
        history.began_at = loop.now
        for number, name in enumerate(deployment.DATA_CENTRES):
            groups.append(
                clients.Clients(
                    loop,
                    history,
                    router,
                    f"{subnet}.{100 + number}",
                    name,
                    draws,
                )
            )
        injector = faults.Injector(system, all_targets)
        injector.arm(faults.schedule(draws, history.seconds))
        loop.call_every(WATCH_S, system.note_exits)
        loop.call_later(history.seconds, stop)

    loop.call_later(WATCH_S, begin)
    loop.run()
    for group in groups:
        group.close()
    for target in all_targets:
        target.end()
    if not history.began_at:
        raise RuntimeError(
            f"{router.ready} balancers are ready after {START_LIMIT_S} s; "
            f"expected {len(system.balancers)}"
        )
