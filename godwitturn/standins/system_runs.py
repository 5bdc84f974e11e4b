"""A small deployment as real processes, and what a run of it left."""

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

# What is kept of the log of each process.
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
# Slow start is short, so that tests don't wait for the ramp.
RULES = documents.Rules(
    data_centres=SMALL_DEPLOYMENT.data_centres,
    ramp_seconds=1.0,
    return_seconds=1.0,
)


@attrs.define
class Run:
    """Traffic of one test.

    Attributes:
        system: The processes.
        reports: What callers saw, by service name.
        extra: Records of what the test itself did.
        logs: The end of each process's log, once the run is over.
    """

    system: systems.System
    reports: dict[str, traffic.Report]
    extra: list[history.Record] = attrs.field(factory=list)
    logs: str = ""

    def records(self) -> list[history.Record]:
        """Returns the records of callers, targets and the test."""
        found = list(self.extra)
        for report in self.reports.values():
            found += report.records
        if self.system.history_path.exists():
            with self.system.history_path.open("rb") as lines:
                found += history.decode_lines(lines)
        return found

    @property
    def broken(self) -> int:
        """Flows that broke."""
        return sum(report.flows_broken for report in self.reports.values())

    @property
    def broken_reasons(self) -> list[str]:
        """Why flows broke."""
        return [
            record.reason
            for record in self.records()
            if isinstance(record, history.FlowEnded)
            and record.end is session_events.FlowEnd.BROKEN
        ]

    @property
    def unanswered(self) -> dict[str, int]:
        """Requests without an answer, by service, verdict and reason."""
        return {
            f"{name} {ending}": count
            for name, report in self.reports.items()
            for ending, count in report.unanswered_by_outcome.items()
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
    """Yields a deployment once it serves; kills its processes at the end.

    An error carries the end of each process's log and its exit status.
    """
    with (
        tempfile.TemporaryDirectory() as name,
        processes.ProcessTable(pathlib.Path(name)) as table,
    ):
        started = systems.System(
            deployment, table, systems.start_store(table), pathlib.Path(name)
        )
        run = Run(
            started, {s.name: traffic.Report(s) for s in deployment.services}
        )
        try:
            await started.start(rules)
            await started.wait_serving()
            yield run
        except BaseException as error:
            error.add_note(_log_tails(table))
            raise
        run.logs = _log_tails(table)


async def post_json(url: str, **body: object) -> None:
    """Posts JSON to a stand-in.

    Raises:
        httpx.HTTPError: It was not accepted.
    """
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.post(url, json=body)
        answer.raise_for_status()


async def get_json(url: str) -> dict[str, int]:
    """Returns the JSON of a stand-in."""
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(url)
        answer.raise_for_status()
        return dict(answer.json())
