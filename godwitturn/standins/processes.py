"""Starts and ends processes for the demo, tests and benchmarks.

The system's own daemons start no process; this is scaffolding around them.
"""

from collections.abc import Sequence
import pathlib
import random
import selectors
import signal
import socket
import subprocess
import sys
import time
from typing import IO

import attrs

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
# Below the range from which the kernel takes ports for outgoing connections,
# which could otherwise take a port between its choice and its use.
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_IN_BLOCK = 100


def _bind(port: int, kind: socket.SocketKind) -> socket.socket | None:
    """Returns a socket bound to a loopback port, or None if it is taken."""
    bound = socket.socket(socket.AF_INET, kind)
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound


@attrs.define
class PortAllocator:
    """Gives ports that no other process with an allocator gives.

    A port is free again between its choice and its use by a child process, so
    test runs side by side would give it twice. An allocator therefore owns
    whole blocks: it keeps the first port of each bound as long as it lives.
    """

    _claims: list[socket.socket] = attrs.field(factory=list)
    _left: list[int] = attrs.field(factory=list)

    def _claim_block(self) -> None:
        blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_IN_BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            claim = _bind(first, socket.SOCK_STREAM)
            if claim is not None:
                self._claims.append(claim)
                self._left = list(range(first + 1, first + PORTS_IN_BLOCK))
                return
        raise RuntimeError(
            f"no block of ports is free from {FIRST_PORT} to {LAST_PORT}"
        )

    def take(self, kind: socket.SocketKind) -> int:
        """Returns a port that nothing is bound to, once each.

        Raises:
            RuntimeError: Every block of ports is claimed.
        """
        while True:
            if not self._left:
                self._claim_block()
            port = self._left.pop()
            probe = _bind(port, kind)
            if probe is not None:
                probe.close()
                return port


_ALLOCATOR = PortAllocator()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a loopback port that nothing is bound to, once each."""
    return _ALLOCATOR.take(kind)


def _read_line(stream: IO[bytes], deadline: float) -> str:
    with selectors.DefaultSelector() as selector:
        selector.register(stream, selectors.EVENT_READ)
        if not selector.select(max(0.0, deadline - time.monotonic())):
            return ""
    return stream.readline().decode().strip()


@attrs.define
class Process:
    """One running process.

    Attributes:
        name: Its name, for messages.
        popen: The process.
        ready_text: What it printed after `ready`, usually a port.
        log: File with its standard error.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path
    ready_text: str = ""

    def wait_ready(self) -> str:
        """Waits for the ready line and returns what follows the word.

        Raises:
            RuntimeError: The process ended or printed nothing in time.
        """
        assert self.popen.stdout is not None
        line = _read_line(
            self.popen.stdout, time.monotonic() + READY_TIMEOUT_S
        )
        if not line.startswith("ready"):
            raise RuntimeError(
                f"{self.name} is not ready, it printed {line!r}; "
                f"its log ends with {self.log.read_text()[-2000:]!r}"
            )
        self.ready_text = line.removeprefix("ready").strip()
        return self.ready_text

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """Asks the process to end and returns its exit status.

        Raises:
            subprocess.TimeoutExpired: It did not end in time.
        """
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)

    def write_line(self, line: str) -> None:
        """Writes a line to its standard input."""
        assert self.popen.stdin is not None
        self.popen.stdin.write(line.encode() + b"\n")
        self.popen.stdin.flush()


@attrs.define
class ProcessTable:
    """All processes of one run; ends them when left.

    Attributes:
        directory: Where logs and settings are written.
    """

    directory: pathlib.Path
    process_by_name: dict[str, Process] = attrs.field(factory=dict)

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Starts `python -m <arguments>` without waiting for it."""
        log = self.directory / f"{name}.log"
        with log.open("ab") as errors:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        process = Process(name, popen, log)
        self.process_by_name[name] = process
        return process

    def check_running(self) -> None:
        """Checks that every process still runs.

        Raises:
            RuntimeError: One has ended by itself.
        """
        for process in self.process_by_name.values():
            status = process.popen.poll()
            if status is not None:
                raise RuntimeError(
                    f"{process.name} ended with status {status}; "
                    f"its log ends with {process.log.read_text()[-2000:]}"
                )

    def kill_all(self) -> None:
        """Kills every process that was started here."""
        for process in self.process_by_name.values():
            process.signal(signal.SIGCONT)
            process.kill()
            for stream in (process.popen.stdin, process.popen.stdout):
                if stream is not None:
                    stream.close()

    def __enter__(self) -> "ProcessTable":
        return self

    def __exit__(self, *_: object) -> None:
        self.kill_all()
