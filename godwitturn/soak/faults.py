"""Faults of a soak: a random schedule from a seed, and their injection."""

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
# Time of the first fault, since the load began. All processes have started by
# then.
FIRST_FAULT_AT_S = 3.0
# Time between the starts of faults. Most faults last longer, so they overlap.
MIN_GAP_S = 0.2
MAX_GAP_S = 3.0
MIN_DURATION_S = 0.5
MAX_DURATION_S = 4.0
# Minimum time from the start of the last fault until the share of served
# requests is checked. Current deployments serve a quarter of the requests
# again after this time.
RECOVERY_S = 12.0
# Age of the backup from which the store is restored, in whole seconds.
MAX_BACKUP_AGE_S = 10
# Time after a restore at which operators write their documents again.
REWRITE_DELAY_S = 0.5
# Pause between the restarts of a rolling restart.
ROLL_GAP_S = 1.0
# Latest start of the operations, before the last fault: a rolling restart
# takes longer than other faults.
OPERATIONS_LEAD_S = 4.0
# Time after a rolling restart began in which a route moves.
MAX_MOVE_DELAY_S = 4.0
# A data centre is closed for this time before balancers lose their power, and
# its targets become cold this time before it is taken back.
EVACUATION_LEAD_S = 1.0
COLD_LEAD_S = 0.3
MIN_DARK_S = 2.0
MAX_DARK_S = 4.0
_MODE_BY_KIND = {
    Kind.STORE_SILENT: proxy.Mode.SILENT,
    Kind.STORE_ONE_WAY: proxy.Mode.ONE_WAY,
    Kind.STORE_SLOW: proxy.Mode.SLOW,
    Kind.STORE_RESETS: proxy.Mode.RESET,
}


def schedule(
    generator: random.Random,
    seconds: float,
    *,
    restores: bool = False,
    planned_only: bool = False,
) -> list[histories.Fault]:
    """Returns random faults, ordered by time.

    Args:
        generator: Source of random choices.
        seconds: Duration of the load. No fault starts in the last
            `RECOVERY_S + checks.FAULT_FREE_S` seconds.
        restores: Whether the store is also restored from backups, at least
            once.
        planned_only: Whether to leave out faults that aren't planned.
    """
    ends_at = seconds - RECOVERY_S - checks.FAULT_FREE_S
    kinds = [
        kind
        for kind in Kind
        if kind not in histories.RESTORE_KINDS | histories.OPERATION_KINDS
    ]
    faults = []
    if restores:
        at = generator.uniform(FIRST_FAULT_AT_S, ends_at)
        kinds += histories.RESTORE_KINDS
        faults.append(_restore(generator, at))
    at = FIRST_FAULT_AT_S
    while at < ends_at:
        duration_s = generator.uniform(MIN_DURATION_S, MAX_DURATION_S)
        kind = generator.choice(kinds)
        faults.append(
            histories.Fault(at, kind, generator.randrange(1 << 16), duration_s)
        )
        at += generator.uniform(MIN_GAP_S, MAX_GAP_S)
    # Drawn last, so that seeds keep their other faults.
    faults += _operations(generator, ends_at - OPERATIONS_LEAD_S)
    if planned_only:
        faults = [fault for fault in faults if fault.planned]
    return sorted(faults, key=lambda fault: fault.at)


def _operations(
    generator: random.Random, ends_at: float
) -> list[histories.Fault]:
    """Returns a roll, moves of a route beside it, and a dark evacuation."""
    ends_at = max(FIRST_FAULT_AT_S, ends_at)
    rolled_at = generator.uniform(FIRST_FAULT_AT_S, ends_at)
    moves_at = [
        rolled_at + generator.uniform(0.0, MAX_MOVE_DELAY_S),
        generator.uniform(FIRST_FAULT_AT_S, ends_at),
    ]
    dark_at = generator.uniform(FIRST_FAULT_AT_S, ends_at)
    dark_s = EVACUATION_LEAD_S + generator.uniform(MIN_DARK_S, MAX_DARK_S)
    return [
        histories.Fault(rolled_at, Kind.ROLL, 0, ROLL_GAP_S),
        *(histories.Fault(at, Kind.MOVE_ROUTE, 0, 0.0) for at in moves_at),
        histories.Fault(
            dark_at,
            Kind.TAKE_BACK_IN_DARK,
            generator.randrange(1 << 16),
            dark_s,
        ),
    ]


def _restore(generator: random.Random, at: float) -> histories.Fault:
    duration_s = generator.uniform(MIN_DURATION_S, MAX_DURATION_S)
    return histories.Fault(
        at, Kind.STORE_RESTORED, generator.randrange(1 << 16), duration_s
    )


class Injector:
    """Injects the faults of a schedule.

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

    def schedule(self, faults: list[histories.Fault]) -> None:
        """Sets a timer for each fault."""
        loop = self.system.loop
        for fault in faults:
            loop.call_later(fault.at, functools.partial(self.inject, fault))
            if fault.kind is Kind.STORE_RESTORED:
                age_s = fault.selector % MAX_BACKUP_AGE_S
                loop.call_later(
                    max(0.0, fault.at - age_s), self.system.back_up_store
                )

    def _call_at_end(
        self, fault: histories.Fault, callback: Callable[[], None]
    ) -> None:
        self.system.loop.call_later(fault.seconds, callback)

    def inject(self, fault: histories.Fault) -> None:
        """Injects a fault and schedules its end, if it has one."""
        system = self.system
        system.history.faults.append(attrs.evolve(fault, at=system.loop.now))
        members = system.members
        member = members[fault.selector % len(members)]
        target = self.targets[fault.selector % len(self.targets)]
        match fault.kind:
            case Kind.KILL:
                member.should_run = False
                system.signal(member, signal.SIGKILL)
            case Kind.FREEZE:
                system.signal(member, signal.SIGSTOP)
                self._call_at_end(
                    fault, lambda: system.signal(member, signal.SIGCONT)
                )
            case Kind.STOP:
                balancers = system.balancers
                balancer = balancers[fault.selector % len(balancers)]
                self._terminate(balancer)
            case Kind.RELOAD:
                system.write_settings(
                    member,
                    cold_slack=fault.selector % (deployment.COLD_SLACK + 1),
                )
                system.signal(member, signal.SIGHUP)
            case Kind.STORE_REFUSES:
                system.store.is_unavailable = True
                self._call_at_end(fault, self._end_refusal)
            case Kind.STORE_RESTORED:
                system.store.is_unavailable = True
                self._call_at_end(fault, self._restore_store)
            case Kind.LEASES_LAPSE:
                system.store.expire_all_leases()
            case Kind.TARGET_CRASH:
                target.stop()
                self._call_at_end(fault, target.start)
            case Kind.TARGET_DRAIN:
                target.drain()
            case Kind.CONFIGURE:
                system.configure()
            case Kind.EVACUATE:
                name = deployment.DATA_CENTRES[fault.selector % 2]
                system.evacuate(name, closed=True)
                self._call_at_end(fault, lambda: self._take_back(name))
            case Kind.ROLL:
                self._roll()
            case Kind.MOVE_ROUTE:
                system.move_route()
            case Kind.TAKE_BACK_IN_DARK:
                self._take_back_in_dark(fault)
            case _:
                system.proxy.set_mode(_MODE_BY_KIND[fault.kind])
                self._call_at_end(
                    fault, lambda: system.proxy.set_mode(proxy.Mode.PASS)
                )

    def _take_back(self, data_centre: str) -> None:
        """Opens a data centre again; its targets have just become cold."""
        system = self.system
        for agent, target in zip(system.agents, self.targets, strict=True):
            if agent.data_centre == data_centre:
                target.become_cold()
        system.loop.call_later(
            COLD_LEAD_S, lambda: system.evacuate(data_centre, closed=False)
        )

    def _roll(self) -> None:
        """Restarts the agents in turn and, beside them, the balancers."""
        system = self.system
        for offset_s, members in (
            (0.0, system.agents),
            (ROLL_GAP_S / 2, system.balancers),
        ):
            for number, member in enumerate(members):
                system.loop.call_later(
                    offset_s + number * ROLL_GAP_S,
                    functools.partial(self._terminate, member),
                )

    def _terminate(self, member: deployment.Member) -> None:
        member.should_run = False
        self.system.signal(member, signal.SIGTERM)

    def _take_back_in_dark(self, fault: histories.Fault) -> None:
        """Closes a data centre; opens it while no balancer has power."""
        system = self.system
        name = deployment.DATA_CENTRES[fault.selector % 2]
        system.evacuate(name, closed=True)

        def power_off() -> None:
            for balancer in system.balancers:
                system.power_off(balancer)
            dark_s = fault.seconds - EVACUATION_LEAD_S
            system.loop.call_later(dark_s / 2, lambda: self._take_back(name))

        def power_on() -> None:
            for balancer in system.balancers:
                system.power_on(balancer)

        system.loop.call_later(EVACUATION_LEAD_S, power_off)
        self._call_at_end(fault, power_on)

    def _end_refusal(self) -> None:
        self.system.store.is_unavailable = False

    def _restore_store(self) -> None:
        system = self.system
        system.restore_store()
        system.store.is_unavailable = False
        system.loop.call_later(REWRITE_DELAY_S, system.write_documents)
