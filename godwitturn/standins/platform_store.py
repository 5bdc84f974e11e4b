"""In-memory stand-in for the platform's store, with its HTTP calls."""

import base64
import http.server
import itertools
import json
import threading
import time
from typing import Any
import urllib.parse

FIRST_LEASE_ID = 1000


class PlatformStore(http.server.ThreadingHTTPServer):
    """HTTP server with keys, leases and watches, a thread for each request.

    Attributes:
        item_by_key: Existing items, as answers contain them.
        is_unavailable: Whether GET and POST requests are answered with 503.
        answer_delay_s: Seconds between a write and its answer.
    """

    daemon_threads = True

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address, _Handler)
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self.is_unavailable = False
        self.answer_delay_s = 0.0
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._lease_ids = itertools.count(FIRST_LEASE_ID)
        self._granted_at_by_lease: dict[int, float] = {}
        self._changed = threading.Condition()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignores errors, as callers may disconnect before the answer."""

    def put(self, key: str, value: bytes, *, lease: int = 0) -> None:
        """Sets a key at a new revision; lease 0 means no lease."""
        with self._changed:
            self._revision += 1
            previous = self.item_by_key.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created": previous["created"] if previous else self._revision,
                "lease": lease,
            }
            self.item_by_key[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def delete(self, key: str) -> None:
        """Removes a key, if it exists."""
        with self._changed:
            if self.item_by_key.pop(key, None) is None:
                return
            self._revision += 1
            self._events.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )
            self._changed.notify_all()

    def read(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-range`."""
        with self._changed:
            items = [
                item
                for key, item in sorted(self.item_by_key.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            answer = {
                "items": items,
                "has_more": False,
                "at": self._revision,
            }
            return 200, answer

    def watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-watch`.

        Waits until a key with the prefix has changed since the revision, for
        at most `wait_ms`.
        """
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        with self._changed:
            while True:
                events = [
                    event
                    for event in self._events
                    if event["key"].startswith(query["prefix"])
                    and event["revision"] > int(query["after"])
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(remaining_s)

    def grant(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-lease`."""
        with self._changed:
            lease = next(self._lease_ids)
            self._granted_at_by_lease[lease] = time.monotonic()
        return 200, {"lease": lease, "ttl_ms": document["ttl_ms"]}

    def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        self._granted_at_by_lease.pop(lease, None)
        for key, item in list(self.item_by_key.items()):
            if item["lease"] == lease:
                self.delete(key)

    def expire_all_leases(self) -> None:
        """Ends all leases, as if all had expired."""
        for lease in list(self._granted_at_by_lease):
            self.end_lease(lease)

    def write(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of the answer to `/kv-txn`."""
        for put in document["puts"]:
            if put["lease"] not in self._granted_at_by_lease:
                return 404, {}
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, lease=put["lease"])
        return 200, {"revision": self._revision}

    def has_lease(self, lease: int) -> bool:
        """Returns whether a lease has been granted and has not ended."""
        return lease in self._granted_at_by_lease


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
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        """Answers range and watch calls."""
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if self.server.is_unavailable:
            self._reply(503, {})
        elif parts.path == "/kv-range":
            self._reply(*self.server.read(query))
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
