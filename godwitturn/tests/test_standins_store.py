"""Tests of the stand-in store against the format of etcd's gateway."""

import base64
import json
import time
from typing import Any
import unittest

import httpx
import hypothesis
from hypothesis import strategies

from godwitturn.standins.store import service as services
from godwitturn.standins.store import state as states
from godwitturn.standins.store import watches
from godwitturn.tests import store_process


def b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


class TestGatewayFormat(store_process.StoreTestCase):
    """A stand-in with a different format would hide faults of the client."""

    def test_range_returns_the_last_put_and_its_revisions(self) -> None:
        self.store.post("/v3/kv/put", key=b64("a"), value=b64("1"))
        self.store.post("/v3/kv/put", key=b64("a"), value=b64("2"))
        answer = self.store.post("/v3/kv/range", key=b64("a")).json()
        self.assertEqual("3", answer["header"]["revision"])
        self.assertEqual("1", answer["count"])
        expected = {
            "key": b64("a"),
            "value": b64("2"),
            "create_revision": "2",
            "mod_revision": "3",
            "version": "2",
        }
        self.assertEqual([expected], answer["kvs"])

    def test_absent_key_omits_default_fields(self) -> None:
        answer = self.store.post("/v3/kv/range", key=b64("a")).json()
        self.assertEqual({"header"}, set(answer))

    def test_prefix_is_sorted_and_bounded(self) -> None:
        for key in ("a/2", "a/1", "b/1"):
            self.store.post("/v3/kv/put", key=b64(key), value=b64("v"))
        answer = self.store.post(
            "/v3/kv/range", key=b64("a/"), range_end=b64("a0")
        ).json()
        keys = [found["key"] for found in answer["kvs"]]
        self.assertEqual([b64("a/1"), b64("a/2")], keys)

    def test_transaction_takes_one_branch_at_one_revision(self) -> None:
        put = [
            {"request_put": {"key": b64(key), "value": b64("v")}}
            for key in "ab"
        ]
        read = [{"request_range": {"key": b64("a")}}]
        compare = [
            {
                "key": b64("a"),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": "0",
            }
        ]
        message = {"compare": compare, "success": put, "failure": read}
        first = self.store.post("/v3/kv/txn", **message).json()
        self.assertTrue(first["succeeded"])
        self.assertEqual("2", first["header"]["revision"])
        second = self.store.post("/v3/kv/txn", **message).json()
        self.assertNotIn("succeeded", second)
        (response,) = second["responses"]
        found = response["response_range"]["kvs"][0]
        self.assertEqual("2", found["mod_revision"])

    def test_invalid_calls_are_refused(self) -> None:
        bad_base64 = self.store.post("/v3/kv/put", key="%", value="")
        self.assertEqual((400, 3), _error(bad_base64))
        not_json = self.store.http.post("/v3/kv/range", content=b"{")
        self.assertEqual((400, 3), _error(not_json))
        no_key = self.store.post("/v3/kv/put", value=b64("v"))
        self.assertEqual((400, 3), _error(no_key))
        past = self.store.post("/v3/kv/range", key=b64("a"), revision="1")
        self.assertEqual((501, 12), _error(past))

    def test_value_over_a_megabyte_is_refused(self) -> None:
        limit = states.MAX_VALUE_BYTES
        fits = self.store.post(
            "/v3/kv/put", key=b64("a"), value=b64("v" * limit)
        )
        self.assertEqual(200, fits.status_code)
        over = self.store.post(
            "/v3/kv/put", key=b64("a"), value=b64("v" * (limit + 1))
        )
        self.assertEqual((400, 3), _error(over))


def _error(response: httpx.Response) -> tuple[int, int]:
    return response.status_code, response.json()["code"]


class TestLimits(store_process.StoreTestCase):
    """A store without limits would hide a client that calls too often."""

    store_arguments = ("--writes-per-second", "1")

    def test_calls_over_the_rate_are_refused_and_later_accepted(self) -> None:
        answers = [
            self.store.post("/v3/kv/put", key=b64("a"), value=b64("v"))
            for _ in range(20)
        ]
        refused = [answer for answer in answers if answer.status_code == 429]
        self.assertTrue(refused)
        self.assertEqual(8, refused[0].json()["code"])
        self.assertIn("retry-after", refused[0].headers)
        _wait_until(
            lambda: (
                self.store.post(
                    "/v3/kv/put", key=b64("a"), value=b64("v")
                ).status_code
                == 200
            )
        )

    @hypothesis.given(
        strategies.floats(1, 1000),
        strategies.lists(strategies.floats(0, 0.1), max_size=200),
    )
    def test_rate_is_never_exceeded(
        self, rate: float, gaps: list[float]
    ) -> None:
        limit = services.RateLimit(rate)
        now = 0.0
        accepted = 0
        for gap in gaps:
            now += gap
            accepted += limit.take(now=now)
        self.assertLessEqual(accepted, limit.burst + now * rate + 1e-6)


def _wait_until(condition: Any) -> None:
    deadline = time.monotonic() + store_process.READY_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                "condition did not hold within "
                f"{store_process.READY_TIMEOUT_SECONDS} s"
            )
        time.sleep(0.02)


class TestCounts(store_process.StoreTestCase):
    """Each call must be counted once, and each waiting watch, too."""

    def test_calls_are_counted_by_kind(self) -> None:
        self.store.post("/v3/kv/put", key=b64("a"), value=b64("1"))
        self.store.post("/v3/kv/range", key=b64("a"))
        self.store.post("/v3/kv/range", key=b64("a"))
        watch = _Watch(self.store, key=b64("a"))
        watch.next()
        self.store.post("/v3/kv/put", key=b64("a"), value=b64("2"))
        watch.next()
        counts = self.store.call_counts()
        self.assertEqual(2, counts["put"])
        self.assertEqual(2, counts["range"])
        self.assertEqual(1, counts["watch"])
        self.assertEqual(1, counts["waiting_watches"])
        watch.close()
        _wait_until(lambda: self.store.call_counts()["waiting_watches"] == 0)


class TestLeases(store_process.StoreTestCase):
    """A lease that outlives its TTL would keep the key of a dead holder."""

    def test_key_is_deleted_when_its_lease_ends(self) -> None:
        watch = _Watch(self.store, key=b64("a"))
        watch.next()
        lease = self.store.post("/v3/lease/grant", TTL="2").json()
        self.assertEqual("2", lease["TTL"])
        self.store.post(
            "/v3/kv/put", key=b64("a"), value=b64("1"), lease=lease["ID"]
        )
        self.assertNotIn("type", watch.next()["events"][0])
        self.assertEqual("DELETE", watch.next()["events"][0]["type"])
        watch.close()
        gone = self.store.post("/v3/lease/keepalive", ID=lease["ID"]).json()
        self.assertNotIn("TTL", gone["result"])
        put = self.store.post(
            "/v3/kv/put", key=b64("a"), value=b64("1"), lease=lease["ID"]
        )
        self.assertEqual((404, 5), _error(put))

    def test_keepalive_postpones_expiry(self) -> None:
        state = states.StoreState()
        lease = state.grant(10, 0, now=0.0)
        self.assertEqual(10, state.keep_alive(lease.lease_id, now=9.0))
        self.assertFalse(state.expire(now=18.9))
        self.assertTrue(state.expire(now=19.0))

    def test_key_put_without_lease_outlives_its_previous_lease(self) -> None:
        state = states.StoreState()
        lease = state.grant(10, 0, now=0.0)
        state.apply([states.Put(b"a", b"1", lease.lease_id)])
        state.apply([states.Put(b"a", b"2")])
        state.revoke(lease.lease_id)
        self.assertEqual(b"2", state.entry_by_key[b"a"].value)


class _Watch:
    """A watch connection that does not use `store.StoreClient`."""

    def __init__(
        self, store: store_process.StoreProcess, **request: Any
    ) -> None:
        body = json.dumps({"create_request": request})
        self._context = store.http.stream(
            "POST", "/v3/watch", content=body.encode()
        )
        self._lines = self._context.__enter__().iter_lines()

    def next(self) -> dict[str, Any]:
        """Returns the next result that is not a progress notification."""
        for line in self._lines:
            result: dict[str, Any] = json.loads(line)["result"]
            if len(result) > 1:
                return result
        raise EOFError("store ended the watch connection")

    def close(self) -> None:
        self._context.__exit__(None, None, None)


class TestWatches(store_process.StoreTestCase):
    """A watch must deliver each change once, in order."""

    def test_watch_delivers_changes_since_a_past_revision(self) -> None:
        for value in "123":
            self.store.post("/v3/kv/put", key=b64("a"), value=b64(value))
        watch = _Watch(self.store, key=b64("a"), start_revision="3")
        self.assertTrue(watch.next()["created"])
        found = [event["kv"]["value"] for event in watch.next()["events"]]
        self.assertEqual([b64("2"), b64("3")], found)
        watch.close()

    def test_compacted_start_is_canceled(self) -> None:
        for value in "123":
            self.store.post("/v3/kv/put", key=b64("a"), value=b64(value))
        self.store.post("/v3/kv/compaction", revision="4")
        watch = _Watch(self.store, key=b64("a"), start_revision="2")
        self.assertTrue(watch.next()["created"])
        result = watch.next()
        self.assertTrue(result["canceled"])
        self.assertEqual("4", result["compact_revision"])
        watch.close()

    def test_all_requests_in_one_body_are_handled(self) -> None:
        requests = (
            {"create_request": {"key": b64("a")}},
            {"create_request": {"key": b64("b")}},
            {"cancel_request": {"watch_id": "0"}},
        )
        body = "".join(json.dumps(request) for request in requests)
        with self.store.http.stream(
            "POST", "/v3/watch", content=body.encode()
        ) as response:
            lines = response.iter_lines()
            canceled: set[str] = set()
            while not canceled:
                result = json.loads(next(lines))["result"]
                if result.get("canceled"):
                    canceled.add(result.get("watch_id", "0"))
            self.assertEqual({"0"}, canceled)
            self.assertEqual(1, self.store.call_counts()["waiting_watches"])

    @hypothesis.given(
        strategies.lists(
            strategies.dictionaries(
                strategies.text(), strategies.text(), max_size=3
            ),
            max_size=4,
        ),
        strategies.integers(1, 7),
    )
    def test_objects_are_found_in_chunks_of_any_size(
        self, messages: list[dict[str, str]], size: int
    ) -> None:
        body = "\n".join(json.dumps(message) for message in messages).encode()
        reader = watches.JsonReader()
        found = []
        for start in range(0, len(body), size):
            found += reader.feed(body[start : start + size])
        self.assertEqual(messages, found)


class TestFaults(store_process.StoreTestCase):
    """A fault that does not occur would let tests pass that depend on it."""

    def test_down_resets_connections_until_it_ends(self) -> None:
        self.store.set_faults(down=True)
        with self.assertRaises(httpx.ReadError):
            self.store.post("/v3/kv/range", key=b64("a"))
        self.store.set_faults(down=False)
        answer = self.store.post("/v3/kv/range", key=b64("a"))
        self.assertEqual(200, answer.status_code)

    def test_lost_answer_took_effect(self) -> None:
        self.store.set_faults(lost_answers=1)
        with self.assertRaises(httpx.ReadError):
            self.store.post("/v3/kv/put", key=b64("a"), value=b64("1"))
        answer = self.store.post("/v3/kv/range", key=b64("a")).json()
        self.assertEqual("1", answer["count"])

    def test_lost_request_had_no_effect(self) -> None:
        self.store.set_faults(lost_requests=1)
        with self.assertRaises(httpx.ReadError):
            self.store.post("/v3/kv/put", key=b64("a"), value=b64("1"))
        answer = self.store.post("/v3/kv/range", key=b64("a")).json()
        self.assertNotIn("count", answer)

    def test_dropped_watch_is_reset(self) -> None:
        watch = _Watch(self.store, key=b64("a"))
        watch.next()
        self.store.set_faults(drop_watches=True)
        with self.assertRaises(httpx.ReadError):
            watch.next()
        watch.close()

    def test_unknown_fault_is_refused(self) -> None:
        answer = self.store.post("/standin/faults", sleepy=True)
        self.assertEqual(400, answer.status_code)
        self.assertIn("sleepy", answer.json()["error"])
        answer = self.store.post("/standin/faults", down=1)
        self.assertEqual(400, answer.status_code)


class TestStateHistory(unittest.TestCase):
    """Watches and compare-and-swap rely on revisions that only increase."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from([b"a", b"b", b"c"]),
                strategies.booleans(),
            ),
            max_size=40,
        ),
        strategies.integers(1, 45),
    )
    def test_replayed_history_gives_the_state(
        self, changes: list[tuple[bytes, bool]], limit: int
    ) -> None:
        state = states.StoreState(history_limit=limit)
        for index, (key, delete) in enumerate(changes):
            value = str(index).encode()
            state.apply(
                [states.Delete(key) if delete else states.Put(key, value)]
            )
        start = max(state.compacted_revision, 2)
        events = state.events_from(start, b"a", b"z")
        revisions = [event.entry.mod_revision for event in events]
        self.assertEqual(sorted(set(revisions)), revisions)
        expected = {
            key: entry
            for key, entry in state.entry_by_key.items()
            if entry.mod_revision >= start
        }
        replayed: dict[bytes, states.Entry] = {}
        for event in events:
            replayed.pop(event.entry.key, None)
            if not event.deleted:
                replayed[event.entry.key] = event.entry
        self.assertEqual(expected, replayed)
