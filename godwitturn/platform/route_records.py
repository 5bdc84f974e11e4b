"""Record of the services that routes have had, in the platform's store."""

import json
import socket
import zlib

from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import mirror
from godwitturn.core.transparent import route_history
from godwitturn.core.transparent import routes
from godwitturn.core.transparent import segments
from godwitturn.daemons import http_client
from godwitturn.daemons import os_random
from godwitturn.platform import documents
from godwitturn.platform import program
from godwitturn.platform import store
from godwitturn.protocol import json_values

VERSION = 1
# Limit of the store for a value (`value_bytes` in the settings).
MAX_BYTES = 1_048_576
# Limit of the decompressed record. 10,000 routes with 8 services each take
# less.
MAX_CONTENT_BYTES = 8 * MAX_BYTES


class LaterVersionError(json_values.MalformedError):
    """A later version of the program has written the record."""


def encode(services: route_history.Services) -> bytes:
    """Encodes the record as compressed JSON.

    The record of a large configuration delayed the packets of balancers on
    slow links: with 1,000 routes it has 35 KB, and a tenth when compressed. If
    it would be too long, fewer services are kept for each endpoint, those
    that configurations named last.
    """
    data = b""
    for limit in range(route_history.MAX_SERVICES, 0, -1):
        content = {
            "version": VERSION,
            "routes": {
                segments.endpoint_name(*endpoint): [
                    [service, row[service]]
                    for service in route_history.newest(row, limit)
                ]
                for endpoint, row in sorted(services.items())
            },
        }
        text = json.dumps(content, separators=(",", ":")).encode()
        data = zlib.compress(text)
        if len(text) <= MAX_CONTENT_BYTES and len(data) <= MAX_BYTES:
            break
    return data


def decode(data: bytes) -> route_history.Services:
    """Decodes the record.

    Raises:
        LaterVersionError: If it is of a later version.
        MalformedError: If it can't be decoded.
    """
    content = json_values.load(_decompress(data))
    try:
        version = json_values.integer(content["version"], "version", minimum=1)
        if version > VERSION:
            raise LaterVersionError(
                f"version is {version}; expected at most {VERSION}"
            )
        return {
            _decode_endpoint(name): {
                json_values.text(service, "service"): json_values.integer(
                    number, "version of a configuration"
                )
                for service, number in rows
            }
            for name, rows in content["routes"].items()
        }
    except json_values.MalformedError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        raise json_values.MalformedError(f"routes: {exc!r}") from exc


def _decompress(data: bytes) -> bytes:
    """Returns the JSON of a record, which may be stored uncompressed."""
    if data.startswith(b"{"):
        return data
    try:
        return zlib.decompressobj().decompress(data, MAX_CONTENT_BYTES)
    except zlib.error as exc:
        raise json_values.MalformedError(f"record: {exc}") from exc


def _decode_endpoint(name: str) -> routes.Endpoint:
    address, _, port = name.partition(":")
    number = socket.inet_aton(json_values.address(address, "address"))
    return int.from_bytes(number, "big"), json_values.integer(
        int(port), "port", maximum=json_values.MAX_PORT
    )


class RecordKeeper:
    """Makes the calls of a balancer's route history.

    Attributes:
        client: Its connection to the store.
    """

    def __init__(
        self, owner: program.Program, balancer: balancers.Balancer
    ) -> None:
        self.client = http_client.HttpClient(owner.loop, owner.settings.store)
        self._owner = owner
        self._history = balancer.history
        self._store = store.Store(self.client)
        self._busy = False

    def make_calls(self) -> None:
        """Makes the next call, if one is due."""
        if self._busy:
            return
        call = self._history.next_call(
            now=self._owner.loop.now, jitter=os_random.random_fraction()
        )
        match call:
            case route_history.ReadRecord():
                self._busy = True
                # Before a write, an older state is good enough, since the
                # write fails if it is outdated.
                self._store.read_key(
                    documents.ROUTES_KEY,
                    lambda found, era: self._done(call, found, era),
                    newest=not self._history.loaded,
                )
            case route_history.WriteRecord(services, revision):
                self._busy = True
                self._store.replace_key(
                    documents.ROUTES_KEY,
                    encode(services),
                    revision,
                    lambda result, era: self._done(call, result, era),
                )

    def _done(
        self,
        call: route_history.Call,
        answer: int | mirror.Item | mirror.Failure,
        era: int,
    ) -> None:
        self._busy = False
        earlier_failures = self._history.failures
        result: route_history.Result
        match answer:
            case mirror.Failure():
                result = route_history.Failed(answer.value)
            case mirror.Item():
                result = self._decode_record(answer)
            case _:
                result = route_history.Written(answer)
        self._history.handle_result(
            call,
            result,
            era=era,
            now=self._owner.loop.now,
            jitter=os_random.random_fraction(),
        )
        self._log(call, result, earlier_failures)
        if self._history.idle:
            self.client.close()
        self.make_calls()

    def _decode_record(self, item: mirror.Item) -> route_history.Record:
        if item.value is None:
            return route_history.Record({}, item.revision)
        try:
            services = decode(item.value)
        except json_values.MalformedError as exc:
            self._owner.log_event(
                "malformed_document", key=item.key, error=str(exc)
            )
            return route_history.Record(
                {},
                item.revision,
                overwritable=not isinstance(exc, LaterVersionError),
            )
        return route_history.Record(services, item.revision)

    def _log(
        self,
        call: route_history.Call,
        result: route_history.Result,
        earlier_failures: int,
    ) -> None:
        history = self._history
        if history.failures:
            reason = "outdated"
            if isinstance(result, route_history.Failed):
                reason = result.reason
            self._owner.log_event(
                "store_call_failed",
                prefix=documents.ROUTES_KEY,
                call=type(call).__name__,
                reason=reason,
                failures=history.failures,
            )
        elif earlier_failures:
            self._owner.log_event(
                "store_regained", prefix=documents.ROUTES_KEY
            )
        if isinstance(result, route_history.Written) and not history.failures:
            self._owner.log_event(
                "route_history_written",
                routes=len(history.services),
                revision=result.revision,
            )
