"""Process that holds a lease and writes on demand, for tests of leases.

It prints ``held <create revision>`` once it holds the lease key. Then it
reads one word a line and prints one word in answer:

- ``checked``: writes under the lease, as users do.
- ``unchecked``: writes under the lease with a clock that stands still, as if
  the process was paused between the check of its clock and the write.
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


def _word(answer: results.Result[Any, Any]) -> str:
    if isinstance(answer, results.Success):
        return type(answer.unwrap()).__name__
    return type(answer.failure()).__name__


async def _obey(
    word: str,
    client: store.StoreClient,
    keeper: leases.LeaseManager,
    held: leases.HeldLease,
    document: str,
) -> results.Result[Any, Any]:
    put = wire.Put(document, f"{word} {held.create_revision}".encode())
    match word:
        case "checked":
            return await keeper.write_with_lease(held, [put])
        case "unchecked":
            frozen = attrs.evolve(held, expires_at=float("inf"))
            return await keeper.write_with_lease(frozen, [put])
        case "unfenced":
            return await client.put(put.key, put.value)
        case "renew":
            return await keeper.renew(held)
        case _:
            raise ValueError(f"unknown word {word!r}")


async def _run(url: str, key: str, document: str, ttl_seconds: int) -> None:
    async with store.StoreClient([url]) as client:
        keeper = leases.LeaseManager(
            client, time.monotonic, ttl_seconds=ttl_seconds
        )
        held = (await keeper.acquire(key, owner="test")).unwrap()
        print(f"held {held.create_revision}", flush=True)
        for line in sys.stdin:
            answer = await _obey(line.strip(), client, keeper, held, document)
            print(_word(answer), flush=True)


def main(*, url: str, key: str, document: str, ttl_seconds: int) -> None:
    """Holds a lease.

    Args:
        url: The store.
        key: The lease key.
        document: Key that it writes.
        ttl_seconds: TTL of the lease.
    """
    trio.run(_run, url, key, document, ttl_seconds)


if __name__ == "__main__":
    defopt.run(main)
