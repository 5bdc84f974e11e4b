"""Operators take a data centre out under load and bring it back."""

import contextlib
import itertools
import signal
import socket
import time

import attrs
import trio

from godwitturn.core import addresses
from godwitturn.core import documents
from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import operator_actions
from godwitturn.standins import traffic
from godwitturn.tests import system_case

OUT = "east"
CONNECTION_LIMIT = 40
COLD_FRACTION = 0.05
RAMP_S = 6.0
# Few flows fit into a cold target, and the balancers' own ramp is off, so
# that only the agents hold the load back.
GENTLE = attrs.evolve(
    system_case.SMALL,
    services=(
        documents.Service("papers", 11, CONNECTION_LIMIT, 2),
        documents.Service("cards", 12, CONNECTION_LIMIT, 2),
    ),
)
GENTLE_RULES = attrs.evolve(
    system_case.RULES,
    cold_fraction=COLD_FRACTION,
    ramp_seconds=RAMP_S,
    return_seconds=0.0,
)


def _plans_in(
    run: system_case.Run, data_centre: str
) -> list[deployments.MemberSpec]:
    return [p for p in run.system.targets if p.data_centre == data_centre]


def _ids_in(run: system_case.Run, data_centre: str) -> set[int]:
    return {p.member().member_id for p in _plans_in(run, data_centre)}


def _flow_steps(
    records: list[history.Record], target_id: int, after_s: float
) -> list[tuple[float, int]]:
    """Returns the open flows of a target after each change, with its time."""
    opened: dict[int, float] = {}
    changes: list[tuple[float, int]] = []
    for record in records:
        match record:
            case history.FlowOpened(flow_id, _, found, at_s):
                if found == target_id and at_s > after_s:
                    opened[flow_id] = at_s
    for record in records:
        if isinstance(record, history.FlowEnded) and record.flow_id in opened:
            changes.append((record.at_s, -1))
    changes += [(at_s, 1) for at_s in opened.values()]
    changes.sort()
    counts = itertools.accumulate(change for _, change in changes)
    return list(zip((at_s for at_s, _ in changes), counts, strict=True))


class TestDataCentre(system_case.SystemCase):
    """Nothing runs in a data centre that is out, and its return is gentle."""

    load = traffic.Load(sessions=12, requests=44, pause_s=0.25)
    rules = GENTLE_RULES

    def _check_ramp(self, run: system_case.Run, since_s: float) -> None:
        seen = 0
        for target_id in _ids_in(run, OUT):
            steps = _flow_steps(run.records(), target_id, since_s)
            for at_s, count in steps:
                elapsed = min(1.0, (at_s - since_s) / RAMP_S)
                share = COLD_FRACTION + (1 - COLD_FRACTION) * elapsed
                self.assertLessEqual(count, CONNECTION_LIMIT * share + 1)
            seen += len(steps)
        self.assertGreater(seen, 0, "no flow opened after the return")

    def test_out_and_back(self) -> None:
        # Guards against runs in the data centre later than 5 s after the
        # change (by the history), flows counted as broken, callers left
        # without service, and full load on targets just after the return.
        async def step(run: system_case.Run) -> None:
            await trio.sleep(1.0)
            async with operator_actions.open_operator_client(run) as operators:
                await operators.set_data_centre_out(OUT)
                out_at = time.monotonic()
                await trio.sleep(system_case.OUT_BOUND_S + 1.5)
                others = {
                    plan.member().member_id
                    for plan in run.system.targets
                    if plan.data_centre != OUT
                }
                self.assertGreater(
                    operator_actions.count_runs(run, others, out_at + 1.0), 0
                )
                back_at = time.monotonic()
                await operators.set_data_centre_in(OUT)
            late = traffic.Load(60, 6, prefix="late-")
            await traffic.run_callers(
                run.system.fabric_address, late, run.reports["papers"]
            )
            self._check_ramp(run, back_at)

        run = self.run_system(step, GENTLE)
        self.assertEqual(0, run.broken)
        given_up = sum(
            report.flows_given_up for report in run.reports.values()
        )
        self.assertGreater(given_up, 0)


class _Tap:
    """Counts datagrams sent to the address of an agent that was killed."""

    def __init__(self, address: addresses.Address) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.setblocking(False)

    def count(self) -> int:
        """Returns the datagrams received since the last call."""
        found = 0
        with contextlib.suppress(BlockingIOError):
            while self._socket.recv(2048):
                found += 1
        return found

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()


def _tap_agents(run: system_case.Run) -> list[_Tap]:
    taps = []
    for plan in _plans_in(run, OUT):
        process = run.system.table.process_by_name[f"{plan.name}-agent"]
        process.kill()
        taps.append(
            _Tap(addresses.Address("127.0.0.1", int(process.ready_text)))
        )
    return taps


class TestCutOff(system_case.SystemCase):
    """A change holds although the store goes down and a balancer slept."""

    load = traffic.Load(sessions=12, requests=56, pause_s=0.25)

    def test_store_down_and_balancer_paused(self) -> None:
        # Guards against a paused balancer that sends into a data centre
        # which went out meanwhile: callers' datagrams from before wait in
        # its socket, and its view is still the old one when it wakes.
        async def step(run: system_case.Run) -> None:
            paused = run.system.balancers[1].name
            faults = f"{run.system.store_url}/standin/faults"
            await trio.sleep(1.0)
            operator_actions.send_signal(run, paused, signal.SIGSTOP)
            # Callers' datagrams gather in its socket.
            await trio.sleep(2.0)
            async with operator_actions.open_operator_client(run) as operators:
                revision = await operators.set_data_centre_out(OUT)
            await system_case.post_json(faults, down=True)
            names = operator_actions.daemon_names(run)
            names.remove(paused)
            await operator_actions.wait_in_force(run, revision, names)
            await trio.sleep(system_case.OUT_BOUND_S)
            taps = _tap_agents(run)
            operator_actions.send_signal(run, paused, signal.SIGCONT)
            await trio.sleep(3.0)
            self.assertEqual(0, sum(tap.count() for tap in taps))
            for tap in taps:
                tap.close()
            await operator_actions.wait_in_force(run, revision, [paused])
            await system_case.post_json(faults, down=False)

        run = self.run_system(step)
        self.assertEqual(0, run.broken)
