"""Stand-in of the platform's store: its published HTTP calls, in memory."""

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
    """Keys, leases and watches; each request has a thread of its own.

    Attributes:
        item_by_key: Present keys.
        refusing: Whether each call gets 503.
        answer_delay_s: How long after a write its answer leaves.
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
        self._leases: dict[int, float] = {}
        self._changed = threading.Condition()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignores callers that have gone before their answer."""

    def put(self, key: str, value: bytes, *, lease: int = 0) -> None:
        """Writes a key."""
        with self._changed:
            self._revision += 1
            known = self.item_by_key.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created": known["created"] if known else self._revision,
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
        """Answers a range call."""
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
        """Answers a watch, when something changed or its wait ends."""
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        with self._changed:
            while True:
                events = [
                    event
                    for event in self._events
                    if event["key"].startswith(query["prefix"])
                    and event["revision"] > int(query["after"])
                ]
                left_s = ends_at - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(left_s)

    def grant(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Grants a lease."""
        with self._changed:
            lease = next(self._lease_ids)
            self._leases[lease] = time.monotonic()
        return 200, {"lease": lease, "ttl_ms": document["ttl_ms"]}

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self._leases.pop(lease, None)
        for key, item in list(self.item_by_key.items()):
            if item["lease"] == lease:
                self.delete(key)

    def expire_all_leases(self) -> None:
        """Ends all leases."""
        for lease in list(self._leases):
            self.end_lease(lease)

    def write(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Writes keys under a lease."""
        for put in document["puts"]:
            if put["lease"] not in self._leases:
                return 404, {}
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, lease=put["lease"])
        return 200, {"revision": self._revision}

    def has_lease(self, lease: int) -> bool:
        """Returns whether a lease runs."""
        return lease in self._leases


class _Handler(http.server.BaseHTTPRequestHandler):
    """Takes apart one request."""

    protocol_version = "HTTP/1.1"
    server: PlatformStore

    def log_message(self, *_: object) -> None:
        """Writes nothing."""

    def _reply(self, status: int, document: dict[str, Any]) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        """Answers reads."""
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
        """Answers writes and lease calls."""
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
            known = self.server.has_lease(int(self.path.split("/")[-1]))
            self._reply(200 if known else 404, {"ttl_ms": 10000})
        else:
            self._reply(404, {})

    def do_DELETE(self) -> None:
        """Ends leases."""
        self.server.end_lease(int(self.path.split("/")[-1]))
        self._reply(200, {})
