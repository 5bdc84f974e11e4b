"""Tests of leases, with a real process paused past its lease."""

from collections.abc import Awaitable
from collections.abc import Callable
import os
import signal
import subprocess
import sys
import time
import unittest

import attrs
import hypothesis
from hypothesis import strategies
import trio

from godwitturn.etcd import failures
from godwitturn.etcd import leases
from godwitturn.etcd import store
from godwitturn.etcd import wire
from godwitturn.tests import store_process

KEY = "/godwitturn/test/publisher/dc1"
DOCUMENT = "/godwitturn/test/directory/dc1"
TTL_SECONDS = 4


class TestHeldUntil(unittest.TestCase):
    """A holder that counts from the answer believes in a lease too long."""

    @hypothesis.given(
        strategies.floats(0, 1e6),
        strategies.floats(0, 100),
        strategies.integers(1, 600),
    )
    def test_ends_before_the_store_can_end_it(
        self, started: float, delay: float, ttl_seconds: int
    ) -> None:
        """The store begins the TTL at any time after the call's start."""
        store_end = started + delay + ttl_seconds
        held_until = leases.lease_expires_at(started, ttl_seconds)
        self.assertLess(held_until, store_end)

    def test_is_held_only_before_its_end(self) -> None:
        held = leases.HeldLease(KEY, 1, 2, 10.0)
        self.assertTrue(held.is_valid(now=9.9))
        self.assertFalse(held.is_valid(now=10.0))


@attrs.define
class Clock:
    """A clock that a test sets."""

    now: float = 100.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now


class LeaseTestCase(store_process.StoreTestCase):
    """A test with lease keepers."""

    def run_with_keeper(
        self,
        test: Callable[
            [store.StoreClient, leases.LeaseManager, Clock], Awaitable[None]
        ],
    ) -> None:
        async def main(client: store.StoreClient) -> None:
            clock = Clock()
            keeper = leases.LeaseManager(client, clock, ttl_seconds=60)
            await test(client, keeper, clock)

        self.run_with_client(main)


class TestAcquire(LeaseTestCase):
    """Two processes must not hold one lease."""

    def test_second_holder_is_refused_until_release(self) -> None:
        async def test(
            client: store.StoreClient, keeper: leases.LeaseManager, _: Clock
        ) -> None:
            first = (await keeper.acquire(KEY, owner="a")).unwrap()
            refused = (await keeper.acquire(KEY, owner="b")).failure()
            assert isinstance(refused, failures.Conflict)
            assert refused.current is not None
            self.assertTrue(refused.current.value.endswith(b"a"))
            (await keeper.release(first)).unwrap()
            second = (await keeper.acquire(KEY, owner="b")).unwrap()
            self.assertGreater(second.create_revision, first.create_revision)
            late = await keeper.write_with_lease(
                first, [wire.Put(DOCUMENT, b"1")]
            )
            lapsed = late.failure()
            assert isinstance(lapsed, leases.LeaseLost)
            assert lapsed.holder is not None
            self.assertEqual(
                second.create_revision, lapsed.holder.create_revision
            )

        self.run_with_keeper(test)

    def test_race_has_one_winner(self) -> None:
        rounds = 20

        async def main(client: store.StoreClient) -> None:
            keeper = leases.LeaseManager(
                client, trio.current_time, ttl_seconds=60
            )
            for index in range(rounds):
                held: list[leases.HeldLease] = []

                async def acquire(
                    key: str, found: list[leases.HeldLease]
                ) -> None:
                    answer = await keeper.acquire(key, owner="x")
                    found.extend(answer.map(lambda one: [one]).value_or([]))

                async with trio.open_nursery() as nursery:
                    for _ in range(4):
                        nursery.start_soon(acquire, f"{KEY}/{index}", held)
                self.assertEqual(1, len(held))

        self.run_with_client(main)

    def test_lost_answer_of_the_taking(self) -> None:
        async def test(
            client: store.StoreClient, keeper: leases.LeaseManager, _: Clock
        ) -> None:
            lease = (await client.grant_lease(60)).unwrap()
            self.store.set_faults(lost_answers=1)
            taken = await keeper._create_key(KEY, b"mine", lease.lease_id)
            found = (await client.get(KEY)).unwrap().key_values[0]
            self.assertEqual(found.create_revision, taken.unwrap())

        self.run_with_keeper(test)

    def test_store_down(self) -> None:
        async def test(
            _: store.StoreClient, keeper: leases.LeaseManager, __: Clock
        ) -> None:
            self.store.set_faults(down=True)
            answer = await keeper.acquire(KEY, owner="a")
            self.assertIsInstance(answer.failure(), failures.TimedOut)

        self.run_with_keeper(test)


class TestRenew(LeaseTestCase):
    """A holder must know until when it may act."""

    def test_moves_the_end_and_keeps_the_fence(self) -> None:
        async def test(
            _: store.StoreClient, keeper: leases.LeaseManager, clock: Clock
        ) -> None:
            held = (await keeper.acquire(KEY, owner="a")).unwrap()
            self.assertAlmostEqual(154.0, held.expires_at)
            clock.now = 130.0
            renewed = (await keeper.renew(held)).unwrap()
            self.assertAlmostEqual(184.0, renewed.expires_at)
            self.assertEqual(held.create_revision, renewed.create_revision)

        self.run_with_keeper(test)

    def test_ended_lease_is_lapsed(self) -> None:
        async def test(
            client: store.StoreClient, keeper: leases.LeaseManager, _: Clock
        ) -> None:
            held = (await keeper.acquire(KEY, owner="a")).unwrap()
            await client.revoke_lease(held.lease_id)
            answer = await keeper.renew(held)
            self.assertEqual(leases.LeaseLost(KEY), answer.failure())

        self.run_with_keeper(test)

    def test_paused_during_the_renewal(self) -> None:
        """The answer says 60 s, but it arrives 70 s after the call began."""

        async def test(
            client: store.StoreClient,
            keeper: leases.LeaseManager,
            clock: Clock,
        ) -> None:
            held = (await keeper.acquire(KEY, owner="a")).unwrap()
            self.store.set_faults(delay_seconds=0.3)

            async def pause() -> None:
                await trio.sleep(0.1)
                clock.now += 70.0

            async with trio.open_nursery() as nursery:
                nursery.start_soon(pause)
                answer = await keeper.renew(held)
            self.assertIsInstance(answer.failure(), failures.TimedOut)

        self.run_with_keeper(test)

    def test_outage_leaves_the_old_end(self) -> None:
        async def test(
            _: store.StoreClient, keeper: leases.LeaseManager, clock: Clock
        ) -> None:
            held = (await keeper.acquire(KEY, owner="a")).unwrap()
            self.store.set_faults(down=True)
            answer = await keeper.renew(held)
            self.assertIsInstance(answer.failure(), failures.Unreachable)
            clock.now = held.expires_at
            puts = [wire.Put(DOCUMENT, b"1")]
            late = await keeper.write_with_lease(held, puts)
            self.assertEqual(leases.LeaseLost(KEY), late.failure())

        self.run_with_keeper(test)


class TestWriteUnder(LeaseTestCase):
    """A write takes effect only while the lease is held."""

    def test_further_condition(self) -> None:
        async def test(
            client: store.StoreClient, keeper: leases.LeaseManager, _: Clock
        ) -> None:
            held = (await keeper.acquire(KEY, owner="a")).unwrap()
            absent = [wire.Compare(DOCUMENT, mod_revision=0)]
            puts = [wire.Put(DOCUMENT, b"1")]
            (await keeper.write_with_lease(held, puts, absent)).unwrap()
            again = await keeper.write_with_lease(held, puts, absent)
            self.assertIsInstance(again.failure(), failures.Conflict)

        self.run_with_keeper(test)


class Holder:
    """A lease holder in a process of its own."""

    def __init__(self, url: str) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "godwitturn.tests.lease_holder",
                "--url",
                url,
                "--key",
                KEY,
                "--document",
                DOCUMENT,
                "--ttl-seconds",
                str(TTL_SECONDS),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.create_revision = int(self.read().split()[1])

    def read(self) -> str:
        """Returns the next line that the process prints."""
        return store_process.read_line(self.process)

    def send(self, word: str) -> None:
        """Gives an order; a stopped process finds it when it goes on."""
        assert self.process.stdin is not None
        self.process.stdin.write(f"{word}\n")
        self.process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Signals the process."""
        os.kill(self.process.pid, number)

    def end(self) -> None:
        """Ends the process."""
        store_process.end(self.process)


class TestPausedHolder(store_process.StoreTestCase):
    """A holder that wakes up must not undo what its successor wrote."""

    def _pause_past_the_lease(self, word: str) -> tuple[str, str]:
        """Returns the paused holder's answer and whose the document is."""
        first = Holder(self.store.url)
        self.addCleanup(first.end)
        first.signal(signal.SIGSTOP)
        first.send(word)
        self._wait_for_end_of_lease()
        second = Holder(self.store.url)
        self.addCleanup(second.end)
        self.assertGreater(second.create_revision, first.create_revision)
        second.send("checked")
        self.assertEqual("WriteResult", second.read())
        first.signal(signal.SIGCONT)
        answer = first.read()
        writer_by_value = {
            f"{word} {first.create_revision}".encode(): "paused",
            f"checked {second.create_revision}".encode(): "successor",
        }
        return answer, writer_by_value[self._value(DOCUMENT) or b""]

    def _wait_for_end_of_lease(self) -> None:
        deadline = time.monotonic() + store_process.READY_SECONDS
        while self._value(KEY) is not None:
            self.assertLess(time.monotonic(), deadline, "the lease goes on")
            time.sleep(0.05)

    def _value(self, key: str) -> bytes | None:
        async def main() -> bytes | None:
            async with self.client() as client:
                found = (await client.get(key)).unwrap().key_values
            return found[0].value if found else None

        return trio.run(main)

    def test_finds_out_before_it_writes(self) -> None:
        answer, document = self._pause_past_the_lease("checked")
        self.assertEqual(("LeaseLost", "successor"), (answer, document))

    def test_pause_after_the_check_has_no_effect(self) -> None:
        answer, document = self._pause_past_the_lease("unchecked")
        self.assertEqual(("LeaseLost", "successor"), (answer, document))

    def test_renewal_finds_out(self) -> None:
        answer, document = self._pause_past_the_lease("renew")
        self.assertEqual(("LeaseLost", "successor"), (answer, document))

    def test_unfenced_write_would_undo_the_successor(self) -> None:
        """Shows that the pause brings the failure about."""
        answer, document = self._pause_past_the_lease("unfenced")
        self.assertEqual(("WriteResult", "paused"), (answer, document))
