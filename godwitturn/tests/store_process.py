"""Runs the stand-in store as a process for tests."""

from collections.abc import Awaitable
from collections.abc import Callable
import select
import subprocess
import sys
from typing import Any
import unittest

import httpx
import trio

from godwitturn.etcd import store

READY_TIMEOUT_SECONDS = 30.0

# Ends tests that wait for an event that never occurs.
TEST_TIMEOUT_SECONDS = 60.0


def read_line(process: subprocess.Popen[str]) -> str:
    """Returns the next line of a process's standard output.

    Raises:
        TimeoutError: No line arrives within `READY_TIMEOUT_SECONDS`.
    """
    output = process.stdout
    if output is None:
        raise ValueError("stdout of the process is not a pipe")
    ready, _, _ = select.select([output], [], [], READY_TIMEOUT_SECONDS)
    if not ready:
        raise TimeoutError(
            f"process printed no line in {READY_TIMEOUT_SECONDS} s"
        )
    return output.readline().strip()


def kill(process: subprocess.Popen[str]) -> None:
    """Kills a process and closes its pipes."""
    process.kill()
    process.wait()
    for pipe in (process.stdin, process.stdout):
        if pipe is not None:
            pipe.close()


class StoreProcess:
    """Stand-in store in a process, with an HTTP client.

    Raises:
        TimeoutError: The process is not ready within `READY_TIMEOUT_SECONDS`.
        ValueError: It prints something other than `ready` and a port.
    """

    def __init__(self, *arguments: str) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "godwitturn.standins.store",
                "--port",
                "0",
                *arguments,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        word, port = read_line(self.process).split()
        if word != "ready":
            raise ValueError(f"first line starts with {word!r}, not 'ready'")
        self.url = f"http://127.0.0.1:{port}"
        self.http = httpx.Client(base_url=self.url, trust_env=False)

    def set_faults(self, **values: Any) -> None:
        """Changes faults of the store, by their names."""
        self.http.post("/standin/faults", json=values).raise_for_status()

    def call_counts(self) -> dict[str, int]:
        """Returns the number of calls by kind."""
        counts: dict[str, int] = self.http.get("/standin/counts").json()
        return counts

    def post(self, path: str, **message: Any) -> httpx.Response:
        """Posts a message to the gateway; does not check the status."""
        return self.http.post(path, json=message)

    def kill(self) -> None:
        """Kills the process and closes the client."""
        self.http.close()
        kill(self.process)


class StoreTestCase(unittest.TestCase):
    """Base class of tests that each start a stand-in store."""

    # Rates far above what a test sends, except in the tests of rate limits.
    store_arguments: tuple[str, ...] = (
        "--writes-per-second",
        "100000",
        "--reads-per-second",
        "100000",
        "--progress-interval-seconds",
        "0.1",
    )

    def setUp(self) -> None:
        self.store = StoreProcess(*self.store_arguments)
        self.addCleanup(self.store.kill)

    def run_with_client(
        self,
        test: Callable[[store.StoreClient], Awaitable[None]],
        **options: Any,
    ) -> None:
        """Runs an async function with a client of the store."""

        async def main() -> None:
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with self.client(**options) as client:
                    await test(client)

        trio.run(main)

    def client(self, **options: Any) -> store.StoreClient:
        """Returns a new client of the store."""
        return store.StoreClient([self.store.url], **options)
