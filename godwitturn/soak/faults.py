"""Faults of a soak: a schedule drawn from a seed, and how each is done."""

from collections.abc import Callable
import functools
import random
import signal

import attrs

from godwitturn.soak import checks
from godwitturn.soak import deployment
from godwitturn.soak import history as histories
from godwitturn.soak import proxy
from godwitturn.soak import targets

Kind = histories.FaultKind
# Everything has started by then.
FIRST_AT_S = 3.0
# Pauses between faults; most faults last longer, so that they overlap.
MIN_GAP_S = 0.2
MAX_GAP_S = 3.0
MIN_LASTING_S = 0.5
MAX_LASTING_S = 4.0
# Recovery of a quarter of the requests, in the deployments of today.
RECOVERY_S = 12.0
_MODE_BY_KIND = {
    Kind.STORE_SILENT: proxy.Mode.SILENT,
    Kind.STORE_ONE_WAY: proxy.Mode.ONE_WAY,
    Kind.STORE_SLOW: proxy.Mode.SLOW,
    Kind.STORE_RESETS: proxy.Mode.RESET,
}


def schedule(draws: random.Random, seconds: float) -> list[histories.Fault]:
    """Returns faults in the order of time.

    Args:
        draws: Source of the draws.
        seconds: How long the load lasts; its end is without faults.
    """
    ends_at = seconds - RECOVERY_S - checks.SETTLED_S
    faults = []
    at = FIRST_AT_S
    while at < ends_at:
        lasting = draws.uniform(MIN_LASTING_S, MAX_LASTING_S)
        kind = draws.choice(list(Kind))
        faults.append(
            histories.Fault(at, kind, draws.randrange(1 << 16), lasting)
        )
        at += draws.uniform(MIN_GAP_S, MAX_GAP_S)
    return faults


class Injector:
    """Does what the schedule says.

    Attributes:
        system: The deployment.
        targets: Its targets.
    """

    def __init__(
        self,
        system: deployment.Deployment,
        all_targets: list[targets.Target],
    ) -> None:
        self.system = system
        self.targets = all_targets

    def arm(self, faults: list[histories.Fault]) -> None:
        """Sets a timer for each fault."""
        for fault in faults:
            self.system.loop.call_later(
                fault.at, functools.partial(self.inject, fault)
            )

    def _later(self, fault: histories.Fault, act: Callable[[], None]) -> None:
        self.system.loop.call_later(fault.seconds, act)

    def inject(self, fault: histories.Fault) -> None:
        """Does one thing to the system."""
        system = self.system
        system.history.faults.append(attrs.evolve(fault, at=system.loop.now))
        members = system.members
        member = members[fault.subject % len(members)]
        target = self.targets[fault.subject % len(self.targets)]
        match fault.kind:
            case Kind.KILL:
                member.wanted = False
                system.signal(member, signal.SIGKILL)
            case Kind.FREEZE:
                system.signal(member, signal.SIGSTOP)
                self._later(
                    fault, lambda: system.signal(member, signal.SIGCONT)
                )
            case Kind.STOP:
                balancers = system.balancers
                stopped = balancers[fault.subject % len(balancers)]
                stopped.wanted = False
                system.signal(stopped, signal.SIGTERM)
            case Kind.RELOAD:
                system.write_settings(member, cold_slack=fault.subject % 9)
                system.signal(member, signal.SIGHUP)
            case Kind.STORE_REFUSES:
                system.store.is_unavailable = True
                self._later(fault, self._serve_again)
            case Kind.LEASES_LAPSE:
                system.store.expire_all_leases()
            case Kind.TARGET_CRASH:
                target.end()
                self._later(fault, target.begin)
            case Kind.TARGET_DRAIN:
                target.drain()
            case Kind.CONFIGURE:
                system.configure()
            case Kind.EVACUATE:
                name = deployment.DATA_CENTRES[fault.subject % 2]
                system.evacuate(name, closed=True)
                self._later(fault, lambda: system.evacuate(name, closed=False))
            case _:
                system.proxy.change(_MODE_BY_KIND[fault.kind])
                self._later(
                    fault, lambda: system.proxy.change(proxy.Mode.PASS)
                )

    def _serve_again(self) -> None:
        self.system.store.is_unavailable = False
