"""Tests of watches on the store over HTTP against the stand-in."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import trio

from godwitturn.etcd import store
from godwitturn.etcd import watch as watches
from godwitturn.etcd import wire
from godwitturn.tests import store_process

WatchTest = Callable[
    [store.StoreClient, trio.MemoryReceiveChannel[Any]], Awaitable[None]
]


class TestWatch(store_process.StoreTestCase):
    """A missed change would leave a daemon on an old configuration."""

    def _run(
        self, test: WatchTest, *, start_revision: int = 2, **options: Any
    ) -> None:
        async def main(client: store.StoreClient) -> None:
            sender, receiver = trio.open_memory_channel[Any](100_000)

            async def read() -> None:
                watch = client.watch(
                    "/w/",
                    start_revision=start_revision,
                    clock=trio.current_time,
                )
                async with watch, sender:
                    async for event in watch:
                        await sender.send(event)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await test(client, receiver)
                nursery.cancel_scope.cancel()

        self.run_with_client(main, **options)

    def test_delivers_changes_and_deletions(self) -> None:
        async def test(client: store.StoreClient, events: Any) -> None:
            self.assertEqual(watches.Connected(1), await events.receive())
            lease = (await client.grant_lease(30)).unwrap().lease_id
            await client.put("/w/a", b"1", lease_id=lease)
            await client.put("/x", b"1")
            await client.revoke_lease(lease)
            first, second = await _changes(events, 2)
            self.assertEqual(b"1", first.key_value.value)
            self.assertEqual(2, first.key_value.mod_revision)
            self.assertTrue(second.deleted)
            self.assertEqual(4, second.key_value.mod_revision)

        self._run(test)

    def test_progress_confirms_the_revision(self) -> None:
        async def test(client: store.StoreClient, events: Any) -> None:
            await client.put("/x", b"1")
            while await events.receive() != watches.Progress(2):
                pass

        self._run(test)

    def test_resumes_after_drops_without_gap_or_repetition(self) -> None:
        async def test(client: store.StoreClient, events: Any) -> None:
            await events.receive()
            written = []
            for index in range(150):
                if index % 10 == 0:
                    await trio.to_thread.run_sync(
                        lambda: self.store.set_faults(drop_watches=True)
                    )
                answer = await client.put(f"/w/{index % 7}", b"%d" % index)
                written.append(answer.unwrap().revision)
            delivered = [
                change.key_value.mod_revision
                for change in await _changes(events, len(written))
            ]
            self.assertEqual(written, delivered)

        self._run(test)
        self.assertGreater(self.store.call_counts()["watch"], 2)

    def test_reports_an_outage_and_resumes(self) -> None:
        async def test(client: store.StoreClient, events: Any) -> None:
            await events.receive()
            await client.put("/w/a", b"1")
            await _changes(events, 1)
            self.store.set_faults(down=True)
            await _until(events, watches.Disconnected)
            self.store.set_faults(down=False)
            await client.put("/w/a", b"2")
            await _until(events, watches.Connected)
            (change,) = await _changes(events, 1)
            self.assertEqual(b"2", change.key_value.value)

        self._run(test)

    def test_reconnects_a_silent_watch_after_an_outage(self) -> None:
        async def test(client: store.StoreClient, events: Any) -> None:
            await events.receive()
            self.store.set_faults(lose_watches_on_return=True)
            self.store.set_faults(down=True)
            self.store.set_faults(down=False)
            await client.put("/w/a", b"1")
            await _until(events, watches.Disconnected)
            (change,) = await _changes(events, 1)
            self.assertEqual(b"1", change.key_value.value)

        self._run(test, watch_timeout_seconds=0.5)

    def test_reports_compaction(self) -> None:
        for value in range(5):
            self.store.post(
                "/v3/kv/put",
                key=wire.encode_key("/w/a"),
                value=wire.encode_bytes(b"%d" % value),
            )
        self.store.post("/v3/kv/compaction", revision="6")

        async def test(client: store.StoreClient, events: Any) -> None:
            seen = [event async for event in events]
            self.assertEqual(watches.Compacted(6), seen[-1])
            self.assertNotIn(
                watches.ChangeBatch, [type(event) for event in seen]
            )

        self._run(test, start_revision=3)

    def test_backs_off_while_the_store_is_down(self) -> None:
        async def test(client: store.StoreClient, events: Any) -> None:
            await events.receive()
            started_at = trio.current_time()
            self.store.set_faults(down=True)
            for loss_count in range(1, 6):
                await _until(events, watches.Disconnected)
                # The waits double after the first failure.
                minimum_s = watches.FIRST_BACKOFF_SECONDS * (
                    2**loss_count // 2 - 1
                )
                elapsed_s = trio.current_time() - started_at
                self.assertGreaterEqual(elapsed_s, minimum_s)

        self._run(test)


async def _until(events: Any, kind: type) -> Any:
    while True:
        event = await events.receive()
        if isinstance(event, kind):
            return event


async def _changes(events: Any, number: int) -> list[watches.KeyChange]:
    received: list[watches.KeyChange] = []
    while len(received) < number:
        event = await _until(events, watches.ChangeBatch)
        received += event.changes
    return received
