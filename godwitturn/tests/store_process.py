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

# Ends a test that waits for an event that never occurs.
TEST_TIMEOUT_SECONDS = 60.0


def read_line(process: subprocess.Popen[str]) -> str:
    """Returns the next line of a process's output.

    Raises:
        TimeoutError: If no line arrives within `READY_TIMEOUT_SECONDS`.
    """
    output = process.stdout
    if output is None:
        raise ValueError("the process has no output pipe")
    ready, _, _ = select.select([output], [], [], READY_TIMEOUT_SECONDS)
    if not ready:
        raise TimeoutError(f"no line within {READY_TIMEOUT_SECONDS} s")
    return output.readline().strip()


def kill(process: subprocess.Popen[str]) -> None:
    """Ends one process by its id and closes its pipes."""
    process.kill()
    process.wait()
    for pipe in (process.stdin, process.stdout):
        if pipe is not None:
            pipe.close()


class StoreProcess:
    """A stand-in store in a process of its own."""

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
        """Sets faults of the store."""
        self.http.post("/standin/faults", json=values).raise_for_status()

    def call_counts(self) -> dict[str, int]:
        """Returns the counts of calls by kind."""
        counts: dict[str, int] = self.http.get("/standin/counts").json()
        return counts

    def post(self, path: str, **message: Any) -> httpx.Response:
        """Sends a raw gateway call."""
        return self.http.post(path, json=message)

    def kill(self) -> None:
        """Ends the process."""
        self.http.close()
        kill(self.process)


class StoreTestCase(unittest.TestCase):
    """A test with a new store process and clients of it."""

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
        """Runs an async test with a client of the store."""

        async def main() -> None:
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with self.client(**options) as client:
                    await test(client)

        trio.run(main)

    def client(self, **options: Any) -> store.StoreClient:
        """Returns another client of the store."""
        return store.StoreClient([self.store.url], **options)
