"""Runs the stand-in store as a process."""

import functools

import defopt
import trio

from godwitturn.standins.store import application
from godwitturn.standins.store import service as services


async def _run(service: services.StoreService, host: str, port: int) -> None:
    async with trio.open_nursery() as nursery:
        serve = functools.partial(
            application.serve, service, host=host, port=port
        )
        listening_port = await nursery.start(serve)
        print(f"ready {listening_port}", flush=True)


def main(
    *,
    port: int = 0,
    host: str = "127.0.0.1",
    writes_per_second: float = 400.0,
    reads_per_second: float = 2000.0,
    progress_interval_seconds: float = 1.0,
) -> None:
    """Serves the etcd v3 JSON gateway from memory.

    Args:
        port: TCP port; 0 chooses a free one.
        host: IP address to listen on.
        writes_per_second: Rate limit of calls that write.
        reads_per_second: Rate limit of calls that read.
        progress_interval_seconds: Interval of progress notifications of idle
            watches.
    """
    service = services.StoreService(
        writes_per_second=writes_per_second,
        reads_per_second=reads_per_second,
        progress_interval_seconds=progress_interval_seconds,
    )
    trio.run(_run, service, host, port)


if __name__ == "__main__":
    defopt.run(main)
