"""Process that holds a lease and writes on command, for tests of leases.

It prints ``held <create revision>`` once it holds the lease key. Then it
reads one command per line and prints the type of each result:

- ``checked``: writes with the lease in the usual way.
- ``unchecked``: writes with the lease, but does not check its expiry by the
  local clock, like a process that is paused between this check and the write.
- ``unfenced``: writes without comparing the lease key's create revision.
- ``renew``: renews the lease.
"""

import sys
import time
from typing import Any

import attrs
import defopt
from returns import result as results
import trio

from godwitturn.etcd import leases
from godwitturn.etcd import store
from godwitturn.etcd import wire


def _type_name(answer: results.Result[Any, Any]) -> str:
    if isinstance(answer, results.Success):
        return type(answer.unwrap()).__name__
    return type(answer.failure()).__name__


async def _execute(
    command: str,
    client: store.StoreClient,
    manager: leases.LeaseManager,
    held: leases.HeldLease,
    document: str,
) -> results.Result[Any, Any]:
    put = wire.Put(document, f"{command} {held.create_revision}".encode())
    match command:
        case "checked":
            return await manager.write_with_lease(held, [put])
        case "unchecked":
            unexpiring = attrs.evolve(held, expires_at=float("inf"))
            return await manager.write_with_lease(unexpiring, [put])
        case "unfenced":
            return await client.put(put.key, put.value)
        case "renew":
            return await manager.renew(held)
        case _:
            raise ValueError(
                f"unknown command {command!r}; "
                "allowed: checked, unchecked, unfenced, renew"
            )


async def _run(url: str, key: str, document: str, ttl_seconds: int) -> None:
    async with store.StoreClient([url]) as client:
        manager = leases.LeaseManager(
            client, time.monotonic, ttl_seconds=ttl_seconds
        )
        held = (await manager.acquire(key, owner="test")).unwrap()
        print(f"held {held.create_revision}", flush=True)
        for line in sys.stdin:
            answer = await _execute(
                line.strip(), client, manager, held, document
            )
            print(_type_name(answer), flush=True)


def main(*, url: str, key: str, document: str, ttl_seconds: int) -> None:
    """Holds a lease and executes commands from standard input.

    Args:
        url: URL of the store.
        key: Key that the lease holds.
        document: Key that commands write.
        ttl_seconds: TTL of the lease.
    """
    trio.run(_run, url, key, document, ttl_seconds)


if __name__ == "__main__":
    defopt.run(main)
