"""Reads processor time and memory of processes, and prints tables."""

from collections.abc import Sequence
import time

import attrs
import psutil


@attrs.frozen
class Usage:
    """Processor time and memory of a process at one time.

    Attributes:
        processor_s: User and system time since its start, in seconds.
        resident_bytes: Resident memory in bytes.
        unique_bytes: Memory in bytes that no other process shares.
        read_at: Time of the reading, in seconds of a monotonic clock.
    """

    processor_s: float
    resident_bytes: int
    unique_bytes: int
    read_at: float

    @classmethod
    def of(cls, pid: int) -> "Usage":
        """Reads the usage of a running process.

        Raises:
            psutil.NoSuchProcess: No process has this id.
        """
        process = psutil.Process(pid)
        times = process.cpu_times()
        memory = process.memory_full_info()
        return cls(
            times.user + times.system,
            memory.rss,
            memory.uss,
            time.monotonic(),
        )

    def core_share(self, earlier: "Usage") -> float:
        """Returns the mean share of a core used since an earlier reading."""
        spent_s = self.processor_s - earlier.processor_s
        return spent_s / (self.read_at - earlier.read_at)


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through (x, y) points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum(
        (x - mean_x) ** 2 for x, _ in points
    )


def print_table(rows: Sequence[Sequence[object]]) -> None:
    """Prints rows as aligned columns; the first row holds the titles."""
    text_rows = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*text_rows, strict=True)]
    for row in text_rows:
        first = row[0].ljust(widths[0])
        rest = [
            text.rjust(width)
            for text, width in zip(row[1:], widths[1:], strict=True)
        ]
        print("  ".join([first, *rest]), flush=True)
