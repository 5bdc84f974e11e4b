"""Runs a deployment as processes and collects the results of a run."""

from collections.abc import AsyncIterator
import contextlib
import pathlib
import tempfile

import attrs
import httpx

from godwitturn.core import documents
from godwitturn.core import session_events
from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import processes
from godwitturn.standins import system as systems
from godwitturn.standins import traffic

LOG_TAIL_LINES = 12

SMALL_DEPLOYMENT = deployments.Deployment(
    "trial",
    ("east", "west", "north"),
    ("red", "blue"),
    (
        documents.Service("papers", 11, 200, 2),
        documents.Service("cards", 12, 200, 2),
    ),
    {"papers": 3, "cards": 3},
)
# Short times, so that tests don't wait for the end of slow start.
RULES = documents.Rules(
    data_centres=SMALL_DEPLOYMENT.data_centres,
    ramp_seconds=1.0,
    return_seconds=1.0,
)


@attrs.define
class Run:
    """A running system and the results of the traffic through it.

    Attributes:
        system: The system.
        reports: Results of callers by service name.
        collected_records: Records of the test's own actions; once the run is
            over, the records of callers and targets too.
        logs: Last lines of the log of each process; empty until the run ends.
    """

    system: systems.System
    reports: dict[str, traffic.Report]
    collected_records: list[history.Record] = attrs.field(factory=list)
    logs: str = ""

    def records(self) -> list[history.Record]:
        """Returns the records of callers, targets and the test."""
        found = list(self.collected_records)
        for report in self.reports.values():
            found += report.records
        if self.system.history_path.exists():
            with self.system.history_path.open("rb") as lines:
                found += history.decode_lines(lines)
        return found

    @property
    def flows_broken(self) -> int:
        """Number of flows that broke."""
        return sum(report.flows_broken for report in self.reports.values())

    @property
    def reasons_of_broken_flows(self) -> list[str]:
        """Reasons with which flows broke, one for each flow."""
        return [
            record.reason
            for record in self.records()
            if isinstance(record, history.FlowEnded)
            and record.end is session_events.FlowEnd.BROKEN
        ]

    @property
    def unanswered_by_outcome(self) -> dict[str, int]:
        """Number of requests without an answer, by service and outcome."""
        return {
            f"{name} {outcome}": count
            for name, report in self.reports.items()
            for outcome, count in report.unanswered_by_outcome.items()
        }


def _log_tails(table: processes.ProcessTable) -> str:
    tails = []
    for process in table.process_by_name.values():
        lines = process.log.read_text(errors="replace").splitlines()
        tails.append(f"--- {process.name}: {process.popen.poll()}")
        tails += lines[-LOG_TAIL_LINES:]
    return "\n".join(tails)


@contextlib.asynccontextmanager
async def start_system(
    deployment: deployments.Deployment, rules: documents.Rules
) -> AsyncIterator[Run]:
    """Starts a deployment, waits until it serves and yields its run.

    The processes are killed on leaving the context. Exceptions get a note with
    the exit status and the last lines of the log of each process.
    """
    with (
        tempfile.TemporaryDirectory() as name,
        processes.ProcessTable(pathlib.Path(name)) as table,
    ):
        system = systems.System(
            deployment, table, systems.start_store(table), pathlib.Path(name)
        )
        run = Run(
            system, {s.name: traffic.Report(s) for s in deployment.services}
        )
        try:
            await system.start(rules)
            await system.wait_serving()
            yield run
        except BaseException as error:
            error.add_note(_log_tails(table))
            raise
        run.logs = _log_tails(table)


async def post_json(url: str, **body: object) -> None:
    """Posts a JSON object to a stand-in process.

    Raises:
        httpx.HTTPError: The request failed or was refused.
    """
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.post(url, json=body)
        answer.raise_for_status()


async def get_json(url: str) -> dict[str, int]:
    """Returns the JSON object at a URL of a stand-in process."""
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(url)
        answer.raise_for_status()
        return dict(answer.json())
