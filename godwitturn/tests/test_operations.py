"""Tests of writes with operation ids, over HTTP against the stand-in."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import unittest

import hypothesis
from hypothesis import strategies
from returns import result as results
import trio

from godwitturn.core import write_operation
from godwitturn.etcd import failures
from godwitturn.etcd import operations
from godwitturn.etcd import store
from godwitturn.etcd import watch as watches
from godwitturn.tests import store_process
from godwitturn.tests import test_store

Verdict = operations.WriteVerdict

KEY = "/godwitturn/test/rules"


class TestStoredDocument(unittest.TestCase):
    """A document that lost its operation ids would get a change twice."""

    @hypothesis.given(strategies.lists(strategies.text()), strategies.binary())
    def test_round_trip(self, ids: list[str], body: bytes) -> None:
        document = operations.StoredDocument(tuple(ids), body)
        encoded = operations.encode(document)
        self.assertEqual(document, operations.decode(encoded))

    @hypothesis.given(strategies.binary())
    def test_arbitrary_bytes_never_raise(self, data: bytes) -> None:
        operations.decode(data)

    # Guards against a value that ends the daemon which reads it.
    def test_deeply_nested_value_is_no_document(self) -> None:
        nested = b"\x81\xa1z" + b"\x91" * 100_000
        self.assertIsNone(operations.decode(nested))

    def test_keeps_the_newest_ids(self) -> None:
        document = operations.EMPTY
        for index in range(100):
            document = document.with_write(b"", str(index))
        self.assertEqual(
            tuple(str(index) for index in range(36, 100)), document.operations
        )


def _append(text: bytes) -> Callable[[bytes], bytes]:
    return lambda body: body + text


async def _modify(
    writer: operations.DocumentWriter,
    operation_id: str,
    text: bytes,
    *,
    within_s: float = 20,
    **options: bool,
) -> operations.WriteOutcome:
    """Appends a text to the document."""
    deadline = trio.current_time() + within_s
    return await writer.modify(
        KEY, _append(text), operation_id, deadline=deadline, **options
    )


class WriterTestCase(store_process.StoreTestCase):
    """A test with a document writer."""

    def run_with_writer(
        self,
        test: Callable[[operations.DocumentWriter], Awaitable[None]],
        **options: float,
    ) -> None:
        async def main(client: store.StoreClient) -> None:
            await test(operations.DocumentWriter(client, trio.current_time))

        self.run_with_client(main, **options)

    def body(self) -> bytes:
        """Returns the body of the stored document."""

        async def main() -> bytes:
            async with self.client() as client:
                read_result = (await client.get(KEY)).unwrap()
            if not read_result.key_values:
                return b""
            document = operations.decode(read_result.key_values[0].value)
            return document.body if document else b"unreadable"

        return trio.run(main)


class TestLostAnswers(WriterTestCase):
    """A lost answer must neither repeat a change nor lose it."""

    def test_recognises_a_write_whose_answer_was_lost(self) -> None:
        async def test(writer: operations.DocumentWriter) -> None:
            self.store.set_faults(lost_answers=1)
            outcome = await _modify(writer, "a", b"x")
            self.assertIs(Verdict.TOOK_EFFECT, outcome.verdict)

        self.run_with_writer(test)
        self.assertEqual(b"x", self.body())
        self.assertEqual(2, self.store.call_counts()["txn"])

    def test_repeats_a_write_whose_request_was_lost(self) -> None:
        async def test(writer: operations.DocumentWriter) -> None:
            self.store.set_faults(lost_requests=2)
            outcome = await _modify(writer, "a", b"x")
            self.assertIs(Verdict.TOOK_EFFECT, outcome.verdict)
            self.assertEqual(2, outcome.revision)

        self.run_with_writer(test)
        self.assertEqual(b"x", self.body())

    def test_delayed_write_takes_effect_once(self) -> None:
        """The first copy of the write arrives after the second is answered."""

        async def test(writer: operations.DocumentWriter) -> None:
            self.store.set_faults(delayed_writes=1, write_delay_seconds=2.5)
            outcome = await _modify(writer, "a", b"x")
            self.assertIs(Verdict.TOOK_EFFECT, outcome.verdict)
            second = await _modify(writer, "b", b"y")
            self.assertIs(Verdict.TOOK_EFFECT, second.verdict)
            await trio.sleep(2.5)

        self.run_with_writer(test)
        self.assertEqual(b"xy", self.body())

    def test_lost_request_and_another_writer_give_no_effect(self) -> None:
        async def test(writer: operations.DocumentWriter) -> None:
            base = write_operation.Base()
            deadline = trio.current_time() + 20
            other = operations.EMPTY.with_write(b"y", "b")
            await writer.write(KEY, other, base, deadline=deadline)
            self.store.set_faults(lost_requests=1)
            mine = operations.EMPTY.with_write(b"x", "a")
            outcome = await writer.write(KEY, mine, base, deadline=deadline)
            self.assertIs(Verdict.NO_EFFECT, outcome.verdict)
            self.assertTrue(outcome.conflict)
            assert outcome.current is not None
            self.assertEqual(other, operations.decode(outcome.current.value))

        self.run_with_writer(test)
        self.assertEqual(b"y", self.body())


class AnswerLosingClient(store.StoreClient):
    """Loses the answer to its first compare-and-swap.

    Other writes follow before the timeout is reported, so many that the
    document no longer lists the id of the first.
    """

    lost = False

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        mod_revision: int,
        timeout_seconds: float | None = None,
    ) -> results.Result[store.WriteResult, failures.Failure]:
        """Compares and swaps; the first call reports a timeout."""
        answer = await super().compare_and_swap(
            key, value, mod_revision=mod_revision
        )
        if self.lost:
            return answer
        self.lost = True
        writer = operations.DocumentWriter(self, trio.current_time)
        for index in range(write_operation.MAX_STORED_OPERATIONS):
            await writer.modify(
                key,
                _append(b"o"),
                f"other {index}",
                deadline=trio.current_time() + 30,
            )
        return results.Failure(failures.TimedOut("lost by the test"))


class TestOutages(WriterTestCase):
    """An uncertain outcome must not be reported as a certain one."""

    def test_answers_lost_until_the_deadline_give_may_have(self) -> None:
        async def test(writer: operations.DocumentWriter) -> None:
            self.store.set_faults(lost_answers=1000)
            outcome = await _modify(writer, "a", b"x", within_s=1)
            self.assertIs(Verdict.MAY_HAVE, outcome.verdict)
            self.assertIsInstance(outcome.failure, failures.TimedOut)

        self.run_with_writer(test)

    def test_store_down_after_the_read_gives_may_have(self) -> None:
        async def test(writer: operations.DocumentWriter) -> None:
            self.store.set_faults(down=True)
            outcome = await writer.write(
                KEY,
                operations.EMPTY.with_write(b"x", "a"),
                write_operation.Base(),
                deadline=trio.current_time() + 1,
            )
            self.assertIs(Verdict.MAY_HAVE, outcome.verdict)
            self.store.set_faults(down=False)
            # A retry under the same id resolves the outcome once the store
            # is back.
            outcome = await _modify(writer, "a", b"x", is_retry=True)
            self.assertIs(Verdict.TOOK_EFFECT, outcome.verdict)

        self.run_with_writer(test)
        self.assertEqual(b"x", self.body())

    def test_refused_connections_give_no_effect(self) -> None:
        async def main() -> None:
            urls = [test_store.closed_url()]
            async with store.StoreClient(urls) as client:
                writer = operations.DocumentWriter(client, trio.current_time)
                outcome = await writer.write(
                    KEY,
                    operations.EMPTY.with_write(b"x", "a"),
                    write_operation.Base(),
                    deadline=trio.current_time() + 0.5,
                )
                self.assertIs(Verdict.NO_EFFECT, outcome.verdict)
                self.assertIsInstance(outcome.failure, failures.Unreachable)
                retried = await _modify(
                    writer, "a", b"x", within_s=0.2, is_retry=True
                )
                self.assertIs(Verdict.MAY_HAVE, retried.verdict)

        trio.run(main)

    def test_retries_until_the_store_is_back(self) -> None:
        async def test(writer: operations.DocumentWriter) -> None:
            self.store.set_faults(down=True)

            async def restore() -> None:
                await trio.sleep(0.7)
                self.store.set_faults(down=False)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(restore)
                outcome = await _modify(writer, "a", b"x", within_s=30)
            self.assertIs(Verdict.TOOK_EFFECT, outcome.verdict)

        self.run_with_writer(test)
        self.assertEqual(b"x", self.body())

    def test_repeated_id_is_applied_once(self) -> None:
        async def test(writer: operations.DocumentWriter) -> None:
            for _ in range(3):
                outcome = await _modify(writer, "a", b"x")
                self.assertIs(Verdict.TOOK_EFFECT, outcome.verdict)

        self.run_with_writer(test)
        self.assertEqual(b"x", self.body())

    def test_commuting_change_is_not_repeated_while_uncertain(self) -> None:
        """The document may no longer list the id of a write with no answer."""

        async def main() -> None:
            async with AnswerLosingClient([self.store.url]) as client:
                writer = operations.DocumentWriter(client, trio.current_time)
                outcome = await _modify(
                    writer, "a", b"x", within_s=30, commutes=True
                )
                self.assertIs(Verdict.MAY_HAVE, outcome.verdict)

        trio.run(main)
        self.assertEqual(1, self.body().count(b"x"))

    def test_does_not_replace_an_unreadable_document(self) -> None:
        async def main(client: store.StoreClient) -> None:
            await client.put(KEY, b"\xff")
            writer = operations.DocumentWriter(client, trio.current_time)
            outcome = await _modify(writer, "a", b"x")
            self.assertIs(Verdict.NO_EFFECT, outcome.verdict)
            self.assertIsInstance(outcome.failure, failures.Malformed)

        self.run_with_client(main)
        self.assertEqual(b"unreadable", self.body())


class TestRacingOperators(WriterTestCase):
    """Of two concurrent writes, one must win and one must conflict."""

    rounds = 60

    def test_one_winner_and_one_conflict_each_round(self) -> None:
        outcomes: list[list[operations.WriteOutcome]] = []
        revisions: list[int] = []
        bodies: list[bytes] = []

        async def race(
            client: store.StoreClient, index: int, name: str
        ) -> None:
            writer = operations.DocumentWriter(client, trio.current_time)
            read_result = self._read_results[index]
            key_value = (
                read_result.key_values[0] if read_result.key_values else None
            )
            old = operations.decode(key_value.value) if key_value else None
            document = (old or operations.EMPTY).with_write(
                f"{index}{name}".encode(), f"{index}{name}"
            )
            outcomes[index].append(
                await writer.write(
                    KEY,
                    document,
                    operations.base_of(key_value),
                    deadline=trio.current_time() + 30,
                )
            )

        async def watch(client: store.StoreClient, last: int) -> None:
            changes = client.watch(
                KEY, start_revision=2, clock=trio.current_time
            )
            async with changes:
                async for event in changes:
                    if not isinstance(event, watches.ChangeBatch):
                        continue
                    for change in event.changes:
                        revisions.append(change.key_value.mod_revision)
                        document = operations.decode(change.key_value.value)
                        bodies.append(document.body if document else b"?")
                    if len(revisions) >= last:
                        return

        async def main(first: store.StoreClient) -> None:
            async with self.client() as second:
                for index in range(self.rounds):
                    outcomes.append([])
                    # Both read the same document before either writes.
                    read_result = (await first.get(KEY)).unwrap()
                    self._read_results.append(read_result)
                    if index % 3 == 0:
                        self.store.set_faults(lost_answers=1)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(race, first, index, "a")
                        nursery.start_soon(race, second, index, "b")
                await watch(first, self.rounds)

        self._read_results: list[store.ReadResult] = []
        self.run_with_client(main)
        winners: list[bytes] = []
        for index, pair in enumerate(outcomes):
            verdicts = sorted(outcome.verdict for outcome in pair)
            self.assertEqual(
                [Verdict.TOOK_EFFECT, Verdict.NO_EFFECT], verdicts, index
            )
            (loser,) = (one for one in pair if one.conflict)
            assert loser.current is not None
            document = operations.decode(loser.current.value)
            assert document is not None
            winners.append(document.body)
        self.assertEqual(winners, bodies)
        self.assertEqual(sorted(set(revisions)), revisions)

    def test_commuting_changes_all_take_effect_once(self) -> None:
        names = [f"{index:02}" for index in range(24)]

        async def main(_: store.StoreClient) -> None:
            self.store.set_faults(lost_answers=3)
            async with (
                contextlib.AsyncExitStack() as stack,
                trio.open_nursery() as nursery,
            ):
                for name in names:
                    client = await stack.enter_async_context(self.client())
                    nursery.start_soon(change, client, name)

        async def change(client: store.StoreClient, name: str) -> None:
            writer = operations.DocumentWriter(client, trio.current_time)
            outcome = await _modify(
                writer, name, name.encode(), within_s=50, commutes=True
            )
            self.assertIs(Verdict.TOOK_EFFECT, outcome.verdict)

        self.run_with_client(main)
        body = self.body().decode()
        applied = [body[start : start + 2] for start in range(0, len(body), 2)]
        self.assertEqual(names, sorted(applied))
