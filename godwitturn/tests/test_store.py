"""Tests of the store's client against the stand-in over HTTP."""

import contextlib
import functools
import signal
import socket
from typing import Any
import unittest

import hypothesis
from hypothesis import strategies
from returns import result as results
import trio

from godwitturn.etcd import failures
from godwitturn.etcd import store
from godwitturn.etcd import wire
from godwitturn.tests import store_process


def closed_url() -> str:
    """Returns a URL at which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{unused.getsockname()[1]}"


class TestPrefix(unittest.TestCase):
    """A wrong range end would miss documents or read unrelated ones."""

    @hypothesis.given(strategies.text(), strategies.text())
    def test_range_contains_exactly_the_prefixed_keys(
        self, prefix: str, key: str
    ) -> None:
        end = wire.base64.b64decode(wire.prefix_end(prefix))
        raw = key.encode()
        within = raw >= prefix.encode() and (end == b"\0" or raw < end)
        self.assertEqual(key.startswith(prefix), within)


class TestReadAndWrite(store_process.StoreTestCase):
    """Two writers must not both replace the same revision."""

    def test_absent_key_gives_an_empty_result(self) -> None:
        async def test(client: store.StoreClient) -> None:
            read_result = (await client.get("/a")).unwrap()
            self.assertEqual(store.ReadResult(1, ()), read_result)

        self.run_with_client(test)

    def test_swap_fails_after_another_write(self) -> None:
        async def test(client: store.StoreClient) -> None:
            first = await client.compare_and_swap("/a", b"1", mod_revision=0)
            self.assertEqual(store.WriteResult(2), first.unwrap())
            second = await client.compare_and_swap("/a", b"2", mod_revision=0)
            conflict = second.failure()
            assert isinstance(conflict, failures.Conflict)
            self.assertEqual(
                failures.KeyValue("/a", b"1", 2, 2, 1), conflict.current
            )
            again = await client.compare_and_swap("/a", b"3", mod_revision=2)
            self.assertEqual(store.WriteResult(3), again.unwrap())

        self.run_with_client(test)

    def test_transaction_needs_every_comparison(self) -> None:
        async def test(client: store.StoreClient) -> None:
            await client.put("/a", b"1")
            compares = [
                wire.Compare("/a", mod_revision=2, create_revision=2),
                wire.Compare("/b", mod_revision=7),
            ]
            puts = [wire.Put("/a", b"2"), wire.Put("/b", b"2")]
            answer = await client.transact(compares, puts)
            conflict = answer.failure()
            assert isinstance(conflict, failures.Conflict)
            self.assertEqual({"/a", "/b"}, set(conflict.current_by_key))
            self.assertIsNone(conflict.current_by_key["/b"])
            compares[1] = wire.Compare("/b", mod_revision=0)
            answer = await client.transact(compares, puts)
            self.assertEqual(store.WriteResult(3), answer.unwrap())
            read_result = (await client.get_prefix("/")).unwrap()
            value_by_key = {
                entry.key: entry.value for entry in read_result.key_values
            }
            self.assertEqual({"/a": b"2", "/b": b"2"}, value_by_key)

        self.run_with_client(test)

    def test_grants_renews_and_revokes_leases(self) -> None:
        async def test(client: store.StoreClient) -> None:
            lease = (await client.grant_lease(30)).unwrap()
            await client.put("/a", b"1", lease_id=lease.lease_id)
            renewed = await client.keep_lease_alive(lease.lease_id)
            self.assertEqual(lease, renewed.unwrap())
            (await client.revoke_lease(lease.lease_id)).unwrap()
            read_result = (await client.get("/a")).unwrap()
            self.assertEqual((), read_result.key_values)
            not_found = failures.LeaseNotFound(lease.lease_id)
            renewed = await client.keep_lease_alive(lease.lease_id)
            self.assertEqual(not_found, renewed.failure())
            put = await client.put("/a", b"1", lease_id=lease.lease_id)
            self.assertEqual(not_found, put.failure())

        self.run_with_client(test)


class TestStoreFailures(store_process.StoreTestCase):
    """A write that may have taken effect must be reported as such."""

    def test_calls_fail_while_the_store_is_down(self) -> None:
        async def test(client: store.StoreClient) -> None:
            self.store.set_faults(down=True)
            read = await client.get("/a")
            self.assertIsInstance(read.failure(), failures.Unreachable)
            write = await client.put("/a", b"1")
            self.assertIsInstance(write.failure(), failures.TimedOut)
            self.store.set_faults(down=False)
            (await client.put("/a", b"1")).unwrap()

        self.run_with_client(test)

    def test_lost_answer_may_have_taken_effect(self) -> None:
        async def test(client: store.StoreClient) -> None:
            self.store.set_faults(lost_answers=1)
            lost = await client.put("/a", b"1")
            self.assertIsInstance(lost.failure(), failures.TimedOut)
            read_result = (await client.get("/a")).unwrap()
            self.assertEqual(b"1", read_result.key_values[0].value)
            # One call only: the client must not repeat a write by itself.
            self.assertEqual(1, self.store.call_counts()["put"])

        self.run_with_client(test)

    def test_write_may_take_effect_after_its_timeout(self) -> None:
        async def test(client: store.StoreClient) -> None:
            self.store.set_faults(delayed_writes=1, write_delay_seconds=2.0)
            lost = await client.put("/a", b"1", timeout_seconds=0.2)
            self.assertIsInstance(lost.failure(), failures.TimedOut)
            read_result = (await client.get("/a")).unwrap()
            self.assertEqual((), read_result.key_values)
            while not (await client.get("/a")).unwrap().key_values:
                await trio.sleep(0.05)

        self.run_with_client(test)

    def test_too_large_value_is_not_sent(self) -> None:
        async def test(client: store.StoreClient) -> None:
            size = store.MAX_VALUE_BYTES + 1
            answer = await client.put("/a", bytes(size))
            self.assertEqual(
                failures.TooLarge(size, store.MAX_VALUE_BYTES),
                answer.failure(),
            )
            self.assertNotIn("put", self.store.call_counts())
            (await client.put("/a", bytes(size - 1))).unwrap()

        self.run_with_client(test)


class TestRateLimit(store_process.StoreTestCase):
    """A rejected call had no effect, and the store says when to retry."""

    store_arguments = ("--writes-per-second", "0.05")

    def test_rate_limited_write_had_no_effect(self) -> None:
        async def test(client: store.StoreClient) -> None:
            (await client.put("/a", b"1")).unwrap()
            answer = await client.put("/a", b"2")
            self.assertEqual(failures.RateLimited(1.0), answer.failure())
            read_result = (await client.get("/a")).unwrap()
            self.assertEqual(b"1", read_result.key_values[0].value)

        self.run_with_client(test)


class TestEndpoints(store_process.StoreTestCase):
    """A write that may have taken effect must not go to another endpoint."""

    def test_skips_an_endpoint_that_refuses_connections(self) -> None:
        async def main() -> None:
            urls = [closed_url(), self.store.url]
            async with store.StoreClient(urls) as client:
                (await client.put("/a", b"1")).unwrap()
                (await client.get("/a")).unwrap()

        trio.run(main)

    def test_read_continues_if_an_endpoint_hangs(self) -> None:
        other = store_process.StoreProcess(*self.store_arguments)
        self.addCleanup(other.kill)
        other.process.send_signal(signal.SIGSTOP)

        async def main() -> None:
            urls = [other.url, self.store.url]
            async with store.StoreClient(urls, timeout_seconds=4) as client:
                (await client.get("/a")).unwrap()
                # A write would wait for the hanging endpoint until its
                # timeout; it is sent to the endpoint that answered last.
                (await client.put("/a", b"1")).unwrap()

        trio.run(main)
        self.assertEqual(1, self.store.call_counts()["put"])

    def test_only_reads_continue_after_a_reset(self) -> None:
        other = store_process.StoreProcess(*self.store_arguments)
        self.addCleanup(other.kill)
        other.set_faults(down=True)

        async def main() -> None:
            urls = [other.url, self.store.url]
            async with store.StoreClient(urls) as client:
                answer = await client.put("/a", b"1")
                self.assertIsInstance(answer.failure(), failures.TimedOut)
                (await client.get("/a")).unwrap()

        trio.run(main)
        self.assertNotIn("put", self.store.call_counts())

    def test_unreachable_endpoints_mean_no_effect(self) -> None:
        async def main() -> None:
            async with store.StoreClient([closed_url()]) as client:
                answer = await client.put("/a", b"1")
                self.assertIsInstance(answer.failure(), failures.Unreachable)
                self.assertFalse(
                    failures.may_have_taken_effect(answer.failure())
                )

        trio.run(main)


@contextlib.asynccontextmanager
async def _serve_bytes(answer: bytes) -> Any:
    """Serves fixed bytes to every connection; yields the URL."""

    async def handler(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(answer)

    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, handler, 0, host="127.0.0.1")
        listeners: Any = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        yield f"http://127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


def _http(status: str, body: str) -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


class TestArbitraryAnswers(unittest.TestCase):
    """Any answer of an endpoint must become a failure, not an exception."""

    def _write_failure(self, answer: bytes) -> failures.Failure:
        async def main() -> failures.Failure:
            async with (
                _serve_bytes(answer) as url,
                store.StoreClient([url], timeout_seconds=1) as client,
            ):
                written = await client.compare_and_swap(
                    "/a", b"1", mod_revision=0
                )
                return written.failure()

        return trio.run(main)

    def test_unreadable_answers_may_have_taken_effect(self) -> None:
        for body in ("", "{", "[1]", "{}", '{"header":{"revision":"x"}}'):
            failure = self._write_failure(_http("200 OK", body))
            self.assertIsInstance(failure, failures.Malformed, body)
            self.assertTrue(failures.may_have_taken_effect(failure), body)

    def test_gateway_without_store_may_have_taken_effect(self) -> None:
        failure = self._write_failure(_http("503 Unavailable", "{}"))
        self.assertIsInstance(failure, failures.TimedOut)

    def test_rejected_write_had_no_effect(self) -> None:
        failure = self._write_failure(
            _http("400 Bad Request", '{"code":3,"message":"no"}')
        )
        assert isinstance(failure, failures.Malformed)
        self.assertTrue(failure.refused)

    @hypothesis.given(strategies.binary(min_size=1, max_size=200))
    @hypothesis.settings(max_examples=30)
    def test_arbitrary_bytes_may_have_taken_effect(self, data: bytes) -> None:
        failure = self._write_failure(data)
        self.assertTrue(failures.may_have_taken_effect(failure))


class TestResultTypes(unittest.TestCase):
    """Results and errors must have the types on which callers branch."""

    def test_empty_endpoints_raise(self) -> None:
        with self.assertRaisesRegex(ValueError, "endpoints is empty"):
            store.StoreClient([])

    def test_conflict_has_no_effect(self) -> None:
        conflict = failures.Conflict(1, {})
        self.assertFalse(failures.may_have_taken_effect(conflict))
        self.assertIsNone(conflict.current)
        self.assertIsInstance(results.Failure(conflict), results.Result)
