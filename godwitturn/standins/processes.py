"""Starts and ends processes for the demo, tests and benchmarks.

The daemons of the system itself start no processes.
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
# Below the kernel's range of ephemeral ports. From that range an outgoing
# connection could take a port between its allocation and its use.
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 100


def _bind(port: int, kind: socket.SocketKind) -> socket.socket | None:
    """Returns a socket bound to a loopback port; None if it is in use."""
    bound = socket.socket(socket.AF_INET, kind)
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound


@attrs.define
class PortAllocator:
    """Allocates ports that no allocator of another process allocates.

    A port is unbound between its allocation and its use by a child process,
    so that concurrent test runs could allocate it twice. An allocator
    therefore reserves whole blocks of ports. It keeps the first port of each
    of its blocks bound for as long as it lives.
    """

    _block_sockets: list[socket.socket] = attrs.field(factory=list)
    _unused_ports: list[int] = attrs.field(factory=list)

    def _reserve_block(self) -> None:
        blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            block_socket = _bind(first, socket.SOCK_STREAM)
            if block_socket is not None:
                self._block_sockets.append(block_socket)
                self._unused_ports = list(
                    range(first + 1, first + PORTS_PER_BLOCK)
                )
                return
        raise RuntimeError(
            f"no free block of {PORTS_PER_BLOCK} ports between {FIRST_PORT} "
            f"and {LAST_PORT}"
        )

    def allocate(self, kind: socket.SocketKind) -> int:
        """Returns an unbound loopback port, a different one for each call.

        Raises:
            RuntimeError: All blocks of ports are reserved.
        """
        while True:
            if not self._unused_ports:
                self._reserve_block()
            port = self._unused_ports.pop()
            probe = _bind(port, kind)
            if probe is not None:
                probe.close()
                return port


_ALLOCATOR = PortAllocator()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns an unbound loopback port, a different one for each call."""
    return _ALLOCATOR.allocate(kind)


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
        name: Name of the process in messages.
        popen: The process.
        log: File with its standard error.
        ready_text: Text after `ready` in its first line, usually a port.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path
    ready_text: str = ""

    def wait_ready(self) -> str:
        """Waits for the line that starts with `ready`; returns its rest.

        Raises:
            RuntimeError: The process printed another line, or none within
                `READY_TIMEOUT_S`.
        """
        assert self.popen.stdout is not None
        line = _read_line(
            self.popen.stdout, time.monotonic() + READY_TIMEOUT_S
        )
        if not line.startswith("ready"):
            raise RuntimeError(
                f"{self.name} printed {line!r}, expected a line that starts "
                "with 'ready'; "
                f"its log ends with {self.log.read_text()[-2000:]!r}"
            )
        self.ready_text = line.removeprefix("ready").strip()
        return self.ready_text

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal; does nothing if the process has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """Sends SIGTERM and returns the exit status.

        Raises:
            subprocess.TimeoutExpired: The process did not end within
                `STOP_TIMEOUT_S`.
        """
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)

    def write_line(self, line: str) -> None:
        """Writes a line to the standard input of the process."""
        assert self.popen.stdin is not None
        self.popen.stdin.write(line.encode() + b"\n")
        self.popen.stdin.flush()


@attrs.define
class ProcessTable:
    """Processes of a run; kills them on leaving the context.

    Attributes:
        directory: Directory of the log files.
        process_by_name: Processes; a later one with the same name replaces
            the earlier one.
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
        """Checks that no process has ended.

        Raises:
            RuntimeError: A process has ended.
        """
        for process in self.process_by_name.values():
            status = process.popen.poll()
            if status is not None:
                raise RuntimeError(
                    f"{process.name} exited with status {status}; "
                    f"its log ends with {process.log.read_text()[-2000:]}"
                )

    def kill_all(self) -> None:
        """Kills the processes, suspended ones included."""
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
