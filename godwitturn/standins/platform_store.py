"""In-memory stand-in for the platform's store, with its HTTP calls."""

import base64
import http.server
import json
import threading
import time
from typing import Any
import urllib.parse

from godwitturn.standins import platform_store_model

# Answers on a slow link are sent in parts, so that they arrive steadily.
_PART_BYTES = 16 * 1024


class PlatformStore(http.server.ThreadingHTTPServer):
    """HTTP server of a model of the store, a thread for each request.

    Attributes:
        model: Keys, leases and history.
        is_unavailable: Whether GET and POST requests are answered with 503.
        answer_delay_s: Seconds between a write and its answer.
        late_write_s: Seconds by which writes are executed late, without an
            answer; None to execute and answer them.
        bytes_per_second: Rate at which answers are sent; None for no limit.
    """

    daemon_threads = True
    # All daemons connect at the same time when they start or call again after
    # a failure. Beyond the queue, a connection takes a second.
    request_queue_size = 64

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address, _Handler)
        self.model = platform_store_model.StoreModel()
        self.is_unavailable = False
        self.answer_delay_s = 0.0
        self.late_write_s: float | None = None
        self.bytes_per_second: float | None = None
        # Watches of earlier generations are cut or silent.
        self._watch_generation = 0
        self._silenced_generation = -1
        self._changed = threading.Condition()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def item_by_key(self) -> dict[str, dict[str, Any]]:
        """Existing items, as answers contain them."""
        return self.model.item_by_key

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignores errors, as callers may disconnect before the answer."""

    def put(self, key: str, value: bytes, *, lease: int = 0) -> None:
        """Sets a key at a new revision; lease 0 means no lease."""
        with self._changed:
            self.model.put(key, value, lease=lease)
            self._changed.notify_all()

    def delete(self, key: str) -> None:
        """Removes a key, if it exists."""
        with self._changed:
            self.model.delete(key)
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Drops the history and cuts the watches that are waiting."""
        with self._changed:
            self.model.drop_history()
            self._cut_watches()

    def backup(self) -> platform_store_model.StoreModel:
        """Returns a copy that the store can be restored from."""
        with self._changed:
            return self.model.backup()

    def restore(self, backup: platform_store_model.StoreModel) -> None:
        """Returns to the state of a copy and cuts waiting watches."""
        with self._changed:
            self.model.restore(backup)
            self._cut_watches()

    def silence_watches(self) -> None:
        """Makes watches that are waiting never answer."""
        with self._changed:
            self._silenced_generation = self._watch_generation
            self._watch_generation += 1

    def _cut_watches(self) -> None:
        self._watch_generation += 1
        self._changed.notify_all()

    def read(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-range`."""
        with self._changed:
            items = self.model.read(query["prefix"], query.get("after", ""))
            answer = {
                "items": items,
                "has_more": False,
                "at": self.model.revision,
            }
            return 200, answer

    def read_key(self, key: str) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-key`."""
        with self._changed:
            item = self.model.item_by_key.get(key)
            at = {"at": self.model.revision}
            return (200, {**item, **at}) if item else (404, at)

    def watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-watch`.

        Waits until a key with the prefix has changed since the revision, for
        at most `wait_ms`.

        Raises:
            ConnectionError: If the watch was cut.
        """
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        with self._changed:
            generation = self._watch_generation
            while True:
                if generation <= self._silenced_generation:
                    self._changed.wait()
                    continue
                events = self.model.changes(
                    query["prefix"], int(query["after"])
                )
                if events is None:
                    return 410, {}
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "at": self.model.revision}
                self._changed.wait(remaining_s)
                is_silenced = generation <= self._silenced_generation
                if self._watch_generation != generation and not is_silenced:
                    raise ConnectionError("watch cut")

    def grant(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-lease`."""
        with self._changed:
            lease = self.model.grant()
        return 200, {"lease": lease, "ttl_ms": document["ttl_ms"]}

    def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        with self._changed:
            self.model.end_lease(lease)
            self._changed.notify_all()

    def expire_all_leases(self) -> None:
        """Ends all leases, as if all had expired."""
        with self._changed:
            self.model.end_all_leases()
            self._changed.notify_all()

    def write(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-txn`."""
        with self._changed:
            for row in document["precondition"]:
                item = self.model.item_by_key.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [item] if item else []}
            for put in document["puts"]:
                if put["lease"] and not self.model.has_lease(put["lease"]):
                    return 404, {}
                value = base64.b64decode(put["value"])
                self.model.put(put["key"], value, lease=put["lease"])
            self._changed.notify_all()
            return 200, {"revision": self.model.revision}

    def has_lease(self, lease: int) -> bool:
        """Returns whether a lease has been granted and has not ended."""
        return self.model.has_lease(lease)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Dispatches a request to the store."""

    protocol_version = "HTTP/1.1"
    server: PlatformStore

    def log_message(self, *_: object) -> None:
        """Suppresses the log line of each request."""

    def _reply(self, status: int, document: dict[str, Any]) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        if self.server.model.era:
            self.send_header("Store-Era", str(self.server.model.era))
        self.end_headers()
        rate = self.server.bytes_per_second
        if rate is None:
            self.wfile.write(body)
            return
        for start in range(0, len(body), _PART_BYTES):
            part = body[start : start + _PART_BYTES]
            self.wfile.write(part)
            time.sleep(len(part) / rate)

    def do_GET(self) -> None:
        """Answers calls that read a key, a range or changes."""
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if self.server.is_unavailable:
            self._reply(503, {})
        elif parts.path == "/kv-range":
            self._reply(*self.server.read(query))
        elif parts.path == "/kv-key":
            self._reply(*self.server.read_key(query["key"]))
        elif parts.path == "/kv-watch":
            self._reply(*self.server.watch(query))
        else:
            self._reply(404, {})

    def do_POST(self) -> None:
        """Answers writes and calls that grant or renew a lease."""
        length = int(self.headers.get("Content-Length") or 0)
        document = json.loads(self.rfile.read(length) or b"{}")
        if self.server.is_unavailable:
            self._reply(503, {})
        elif self.path == "/kv-lease":
            self._reply(*self.server.grant(document))
        elif self.path == "/kv-txn" and self.server.late_write_s is not None:
            time.sleep(self.server.late_write_s)
            self.server.write(document)
            raise ConnectionError("answer lost")
        elif self.path == "/kv-txn":
            answer = self.server.write(document)
            time.sleep(self.server.answer_delay_s)
            self._reply(*answer)
        elif self.path.startswith("/kv-keep/"):
            is_granted = self.server.has_lease(int(self.path.split("/")[-1]))
            self._reply(200 if is_granted else 404, {"ttl_ms": 10000})
        else:
            self._reply(404, {})

    def do_DELETE(self) -> None:
        """Ends the lease whose id is the last part of the path."""
        self.server.end_lease(int(self.path.split("/")[-1]))
        self._reply(200, {})
