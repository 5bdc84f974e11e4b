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

DATA_CENTRE = "east"
CONNECTION_LIMIT = 40
COLD_FRACTION = 0.05
RAMP_S = 6.0
# A cold target accepts few flows and the balancers' own ramp is off, so that
# only the agents limit the load.
LOW_LIMIT_DEPLOYMENT = attrs.evolve(
    system_case.SMALL,
    services=(
        documents.Service("papers", 11, CONNECTION_LIMIT, 2),
        documents.Service("cards", 12, CONNECTION_LIMIT, 2),
    ),
)
AGENT_RAMP_RULES = attrs.evolve(
    system_case.RULES,
    cold_fraction=COLD_FRACTION,
    ramp_seconds=RAMP_S,
    return_seconds=0.0,
)


def _targets_in(
    run: system_case.Run, data_centre: str
) -> list[deployments.MemberSpec]:
    return [
        target
        for target in run.system.targets
        if target.data_centre == data_centre
    ]


def _target_ids_in(run: system_case.Run, data_centre: str) -> set[int]:
    return {
        target.member().member_id for target in _targets_in(run, data_centre)
    }


def _open_flow_counts(
    records: list[history.Record], target_id: int, after_s: float
) -> list[tuple[float, int]]:
    """Returns a target's number of open flows after each of its changes.

    Each number has the time of the change in seconds. Only flows that were
    opened after `after_s` are counted.
    """
    opened_at_by_flow: dict[int, float] = {}
    changes: list[tuple[float, int]] = []
    for record in records:
        match record:
            case history.FlowOpened(flow_id, _, opened_at_id, at_s):
                if opened_at_id == target_id and at_s > after_s:
                    opened_at_by_flow[flow_id] = at_s
    for record in records:
        if (
            isinstance(record, history.FlowEnded)
            and record.flow_id in opened_at_by_flow
        ):
            changes.append((record.at_s, -1))
    changes += [(at_s, 1) for at_s in opened_at_by_flow.values()]
    changes.sort()
    counts = itertools.accumulate(change for _, change in changes)
    return list(zip((at_s for at_s, _ in changes), counts, strict=True))


class TestDataCentre(system_case.SystemCase):
    """Nothing runs in a data centre that is out; its load returns slowly."""

    load = traffic.Load(sessions=12, requests=44, pause_s=0.25)
    rules = AGENT_RAMP_RULES

    def _check_ramp(self, run: system_case.Run, since_s: float) -> None:
        checked = 0
        for target_id in _target_ids_in(run, DATA_CENTRE):
            flow_counts = _open_flow_counts(run.records(), target_id, since_s)
            for at_s, count in flow_counts:
                elapsed = min(1.0, (at_s - since_s) / RAMP_S)
                share = COLD_FRACTION + (1 - COLD_FRACTION) * elapsed
                self.assertLessEqual(count, CONNECTION_LIMIT * share + 1)
            checked += len(flow_counts)
        self.assertGreater(checked, 0, "no flow opened after the return")

    def test_flows_leave_the_data_centre_and_return_slowly(self) -> None:
        # Guards against requests that run in the data centre more than 5 s
        # after the change (`run_system` checks the history for them), flows
        # that count as broken, callers that are not served elsewhere, and full
        # load on targets directly after the return.
        async def step(run: system_case.Run) -> None:
            await trio.sleep(1.0)
            async with operator_actions.open_operator_client(run) as operators:
                await operators.set_data_centre_out(DATA_CENTRE)
                out_at = time.monotonic()
                await trio.sleep(system_case.DATA_CENTRE_OUT_BOUND_S + 1.5)
                others = {
                    target.member().member_id
                    for target in run.system.targets
                    if target.data_centre != DATA_CENTRE
                }
                self.assertGreater(
                    operator_actions.count_runs(run, others, out_at + 1.0), 0
                )
                back_at = time.monotonic()
                await operators.set_data_centre_in(DATA_CENTRE)
            late = traffic.Load(60, 6, prefix="late-")
            await traffic.run_callers(
                run.system.fabric_address, late, run.reports["papers"]
            )
            self._check_ramp(run, back_at)

        run = self.run_system(step, LOW_LIMIT_DEPLOYMENT)
        self.assertEqual(0, run.flows_broken)
        given_up = sum(
            report.flows_given_up for report in run.reports.values()
        )
        self.assertGreater(given_up, 0)


class _DatagramCounter:
    """Counts the datagrams that arrive at an address."""

    def __init__(self, address: addresses.Address) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.setblocking(False)

    def count(self) -> int:
        """Returns the number of datagrams received since the last call."""
        received = 0
        with contextlib.suppress(BlockingIOError):
            while self._socket.recv(2048):
                received += 1
        return received

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()


def _replace_agents_by_counters(
    run: system_case.Run,
) -> list[_DatagramCounter]:
    counters = []
    for target in _targets_in(run, DATA_CENTRE):
        process = run.system.table.process_by_name[f"{target.name}-agent"]
        process.kill()
        counters.append(
            _DatagramCounter(
                addresses.Address("127.0.0.1", int(process.ready_text))
            )
        )
    return counters


class TestStoreOutage(system_case.SystemCase):
    """A resumed balancer must apply a change although the store is down."""

    load = traffic.Load(sessions=12, requests=56, pause_s=0.25)

    def test_resumed_balancer_uses_no_data_centre_that_is_out(self) -> None:
        # Guards against a resumed balancer that forwards to a data centre
        # that was taken out while it was suspended: callers' datagrams wait
        # in its socket, and it still has the old configuration.
        async def step(run: system_case.Run) -> None:
            suspended = run.system.balancers[1].name
            faults = f"{run.system.store_url}/standin/faults"
            await trio.sleep(1.0)
            operator_actions.send_signal(run, suspended, signal.SIGSTOP)
            # Callers' datagrams collect in the balancer's socket meanwhile.
            await trio.sleep(2.0)
            async with operator_actions.open_operator_client(run) as operators:
                revision = await operators.set_data_centre_out(DATA_CENTRE)
            await system_case.post_json(faults, down=True)
            names = operator_actions.daemon_names(run)
            names.remove(suspended)
            await operator_actions.wait_in_force(run, revision, names)
            await trio.sleep(system_case.DATA_CENTRE_OUT_BOUND_S)
            counters = _replace_agents_by_counters(run)
            operator_actions.send_signal(run, suspended, signal.SIGCONT)
            await trio.sleep(3.0)
            self.assertEqual(0, sum(counter.count() for counter in counters))
            for counter in counters:
                counter.close()
            await operator_actions.wait_in_force(run, revision, [suspended])
            await system_case.post_json(faults, down=False)

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
