"""Tests of leases, with a process that is paused until its lease ends."""

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


class TestLeaseExpiry(unittest.TestCase):
    """A holder that counts the TTL from the answer uses a lease too long."""

    @hypothesis.given(
        strategies.floats(0, 1e6),
        strategies.floats(0, 100),
        strategies.integers(1, 600),
    )
    def test_expires_before_the_store_ends_it(
        self, started_at: float, delay_s: float, ttl_seconds: int
    ) -> None:
        """The store begins the TTL at any time after the call's start."""
        store_expires_at = started_at + delay_s + ttl_seconds
        expires_at = leases.lease_expires_at(started_at, ttl_seconds)
        self.assertLess(expires_at, store_expires_at)

    def test_is_valid_only_before_its_expiry(self) -> None:
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
    """A test with a lease manager."""

    def run_with_manager(
        self,
        test: Callable[
            [store.StoreClient, leases.LeaseManager, Clock], Awaitable[None]
        ],
    ) -> None:
        async def main(client: store.StoreClient) -> None:
            clock = Clock()
            manager = leases.LeaseManager(client, clock, ttl_seconds=60)
            await test(client, manager, clock)

        self.run_with_client(main)


class TestAcquire(LeaseTestCase):
    """Two processes must not hold one lease."""

    def test_rejects_second_holder_until_release(self) -> None:
        async def test(
            client: store.StoreClient, manager: leases.LeaseManager, _: Clock
        ) -> None:
            first = (await manager.acquire(KEY, owner="a")).unwrap()
            refused = (await manager.acquire(KEY, owner="b")).failure()
            assert isinstance(refused, failures.Conflict)
            assert refused.current is not None
            self.assertTrue(refused.current.value.endswith(b"a"))
            (await manager.release(first)).unwrap()
            second = (await manager.acquire(KEY, owner="b")).unwrap()
            self.assertGreater(second.create_revision, first.create_revision)
            late = await manager.write_with_lease(
                first, [wire.Put(DOCUMENT, b"1")]
            )
            lost = late.failure()
            assert isinstance(lost, leases.LeaseLost)
            assert lost.holder is not None
            self.assertEqual(
                second.create_revision, lost.holder.create_revision
            )

        self.run_with_manager(test)

    def test_race_has_one_winner(self) -> None:
        rounds = 20

        async def main(client: store.StoreClient) -> None:
            manager = leases.LeaseManager(
                client, trio.current_time, ttl_seconds=60
            )
            for index in range(rounds):
                held: list[leases.HeldLease] = []

                async def acquire(
                    key: str, acquired: list[leases.HeldLease]
                ) -> None:
                    answer = await manager.acquire(key, owner="x")
                    acquired.extend(
                        answer.map(lambda lease: [lease]).value_or([])
                    )

                async with trio.open_nursery() as nursery:
                    for _ in range(4):
                        nursery.start_soon(acquire, f"{KEY}/{index}", held)
                self.assertEqual(1, len(held))

        self.run_with_client(main)

    def test_recognises_its_key_after_a_lost_answer(self) -> None:
        async def test(
            client: store.StoreClient, manager: leases.LeaseManager, _: Clock
        ) -> None:
            lease = (await client.grant_lease(60)).unwrap()
            self.store.set_faults(lost_answers=1)
            created = await manager._create_key(KEY, b"mine", lease.lease_id)
            key_value = (await client.get(KEY)).unwrap().key_values[0]
            self.assertEqual(key_value.create_revision, created.unwrap())

        self.run_with_manager(test)

    def test_acquire_times_out_if_the_store_is_down(self) -> None:
        async def test(
            _: store.StoreClient, manager: leases.LeaseManager, __: Clock
        ) -> None:
            self.store.set_faults(down=True)
            answer = await manager.acquire(KEY, owner="a")
            self.assertIsInstance(answer.failure(), failures.TimedOut)

        self.run_with_manager(test)


class TestRenew(LeaseTestCase):
    """A holder must know until when it may write."""

    def test_extends_expiry_and_keeps_fencing_number(self) -> None:
        async def test(
            _: store.StoreClient, manager: leases.LeaseManager, clock: Clock
        ) -> None:
            held = (await manager.acquire(KEY, owner="a")).unwrap()
            self.assertAlmostEqual(154.0, held.expires_at)
            clock.now = 130.0
            renewed = (await manager.renew(held)).unwrap()
            self.assertAlmostEqual(184.0, renewed.expires_at)
            self.assertEqual(held.create_revision, renewed.create_revision)

        self.run_with_manager(test)

    def test_reports_an_ended_lease_as_lost(self) -> None:
        async def test(
            client: store.StoreClient, manager: leases.LeaseManager, _: Clock
        ) -> None:
            held = (await manager.acquire(KEY, owner="a")).unwrap()
            await client.revoke_lease(held.lease_id)
            answer = await manager.renew(held)
            self.assertEqual(leases.LeaseLost(KEY), answer.failure())

        self.run_with_manager(test)

    def test_rejects_an_answer_received_after_the_ttl(self) -> None:
        """The answer says 60 s, but it arrives 70 s after the call began."""

        async def test(
            client: store.StoreClient,
            manager: leases.LeaseManager,
            clock: Clock,
        ) -> None:
            held = (await manager.acquire(KEY, owner="a")).unwrap()
            self.store.set_faults(delay_seconds=0.3)

            async def pause() -> None:
                await trio.sleep(0.1)
                clock.now += 70.0

            async with trio.open_nursery() as nursery:
                nursery.start_soon(pause)
                answer = await manager.renew(held)
            self.assertIsInstance(answer.failure(), failures.TimedOut)

        self.run_with_manager(test)

    def test_outage_keeps_the_old_expiry(self) -> None:
        async def test(
            _: store.StoreClient, manager: leases.LeaseManager, clock: Clock
        ) -> None:
            held = (await manager.acquire(KEY, owner="a")).unwrap()
            self.store.set_faults(down=True)
            answer = await manager.renew(held)
            self.assertIsInstance(answer.failure(), failures.Unreachable)
            clock.now = held.expires_at
            puts = [wire.Put(DOCUMENT, b"1")]
            late = await manager.write_with_lease(held, puts)
            self.assertEqual(leases.LeaseLost(KEY), late.failure())

        self.run_with_manager(test)


class TestWriteWithLease(LeaseTestCase):
    """A write takes effect only while the lease is held."""

    def test_further_condition_must_hold(self) -> None:
        async def test(
            client: store.StoreClient, manager: leases.LeaseManager, _: Clock
        ) -> None:
            held = (await manager.acquire(KEY, owner="a")).unwrap()
            absent = [wire.Compare(DOCUMENT, mod_revision=0)]
            puts = [wire.Put(DOCUMENT, b"1")]
            (await manager.write_with_lease(held, puts, absent)).unwrap()
            again = await manager.write_with_lease(held, puts, absent)
            self.assertIsInstance(again.failure(), failures.Conflict)

        self.run_with_manager(test)


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

    def send(self, command: str) -> None:
        """Sends a command; a stopped process reads it once it continues."""
        assert self.process.stdin is not None
        self.process.stdin.write(f"{command}\n")
        self.process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Signals the process."""
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kills the process."""
        store_process.kill(self.process)


class TestPausedHolder(store_process.StoreTestCase):
    """A holder that was paused must not overwrite its successor's write."""

    def _pause_until_the_lease_ended(self, command: str) -> tuple[str, str]:
        """Returns the paused holder's answer and the document's writer."""
        first = Holder(self.store.url)
        self.addCleanup(first.kill)
        first.signal(signal.SIGSTOP)
        first.send(command)
        self._wait_for_end_of_lease()
        second = Holder(self.store.url)
        self.addCleanup(second.kill)
        self.assertGreater(second.create_revision, first.create_revision)
        second.send("checked")
        self.assertEqual("WriteResult", second.read())
        first.signal(signal.SIGCONT)
        answer = first.read()
        writer_by_value = {
            f"{command} {first.create_revision}".encode(): "paused",
            f"checked {second.create_revision}".encode(): "successor",
        }
        return answer, writer_by_value[self._value(DOCUMENT) or b""]

    def _wait_for_end_of_lease(self) -> None:
        deadline = time.monotonic() + store_process.READY_TIMEOUT_SECONDS
        while self._value(KEY) is not None:
            self.assertLess(
                time.monotonic(), deadline, "the lease did not end"
            )
            time.sleep(0.05)

    def _value(self, key: str) -> bytes | None:
        async def main() -> bytes | None:
            async with self.client() as client:
                key_values = (await client.get(key)).unwrap().key_values
            return key_values[0].value if key_values else None

        return trio.run(main)

    def test_clock_check_rejects_the_write(self) -> None:
        answer, document = self._pause_until_the_lease_ended("checked")
        self.assertEqual(("LeaseLost", "successor"), (answer, document))

    def test_fencing_rejects_a_write_after_the_check(self) -> None:
        answer, document = self._pause_until_the_lease_ended("unchecked")
        self.assertEqual(("LeaseLost", "successor"), (answer, document))

    def test_renewal_reports_the_lost_lease(self) -> None:
        answer, document = self._pause_until_the_lease_ended("renew")
        self.assertEqual(("LeaseLost", "successor"), (answer, document))

    def test_unfenced_write_overwrites_the_successor(self) -> None:
        """Shows that the pause causes the failure without fencing."""
        answer, document = self._pause_until_the_lease_ended("unfenced")
        self.assertEqual(("WriteResult", "paused"), (answer, document))
