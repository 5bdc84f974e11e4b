"""Tests of the HTTP server and client on the reactor."""

import socket
import threading
import time
import unittest

from godwitturn.daemons import http_client
from godwitturn.daemons import http_server
from godwitturn.daemons import reactor

TIMEOUT_S = 5.0


def _echo(method: str, path: str, body: bytes) -> tuple[int, bytes]:
    return 200, f"{method} {path} ".encode() + body


class HttpCase(unittest.TestCase):
    """A reactor that runs for a limited time."""

    def setUp(self) -> None:
        self.loop = reactor.Reactor()
        self.loop.call_later(TIMEOUT_S, self.handle_timeout)
        self.timed_out = False

    def handle_timeout(self) -> None:
        self.timed_out = True
        self.loop.stopped = True

    def run_loop(self) -> None:
        self.loop.run()
        self.assertFalse(self.timed_out, f"no result within {TIMEOUT_S} s")


class TestServer(HttpCase):
    """Responses of the server to bytes on a connection."""

    def setUp(self) -> None:
        super().setUp()
        self.server = http_server.HttpServer(
            self.loop, ("127.0.0.1", 0), _echo
        )
        self.addCleanup(self.server.close)

    def exchange(self, *parts: bytes, ends: bytes) -> bytes:
        """Sends parts; returns what is received up to and including `ends`."""
        received = b""

        def run_client() -> None:
            nonlocal received
            with socket.create_connection(self.server.address) as sock:
                sock.settimeout(TIMEOUT_S)
                for part in parts:
                    sock.sendall(part)
                while not received.endswith(ends):
                    data = sock.recv(4096)
                    if not data:
                        break
                    received += data
            self.loop.call_later(0.0, self.stop)

        thread = threading.Thread(target=run_client)
        thread.start()
        self.run_loop()
        thread.join()
        return received

    def stop(self) -> None:
        self.loop.stopped = True

    def test_request_in_several_parts_is_answered(self) -> None:
        response = self.exchange(
            b"PUT /inst",
            b"ances/1 HTTP/1.1\r\nHost: a\r\nContent-Le",
            b"ngth: 4\r\n\r\nab",
            b"cd",
            ends=b"abcd",
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "))
        self.assertTrue(response.endswith(b"\r\n\r\nPUT /instances/1 abcd"))

    def test_two_requests_in_one_part_are_both_answered(self) -> None:
        request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
        response = self.exchange(request % 1 + request % 2, ends=b"GET /2 ")
        self.assertIn(b"GET /1 ", response)
        self.assertEqual(2, response.count(b"HTTP/1.1 200 "))

    def test_connection_is_closed_on_request(self) -> None:
        response = self.exchange(
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            ends=b"never",
        )
        self.assertIn(b"Connection: close\r\n", response)
        self.assertEqual(set(), self.server.connections)

    def test_malformed_request_closes_the_connection(self) -> None:
        self.assertEqual(b"", self.exchange(b"\x00\x01\r\n\r\n", ends=b"x"))

    def test_size_of_a_request_is_limited(self) -> None:
        head = b"GET / HTTP/1.1\r\n"
        line = b"X-Padding: " + b"a" * 1000 + b"\r\n"
        count = http_server.MAX_REQUEST_BYTES // len(line) + 2

        def run_client() -> None:
            with socket.create_connection(self.server.address) as sock:
                try:
                    sock.sendall(head + line * count)
                    sock.recv(1)
                except ConnectionError:
                    pass  # the expected reset
            self.loop.call_later(0.0, self.stop)

        thread = threading.Thread(target=run_client)
        thread.start()
        self.run_loop()
        thread.join()
        self.assertEqual(set(), self.server.connections)


class TestClient(HttpCase):
    """Results of calls for responses of a server."""

    def setUp(self) -> None:
        super().setUp()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.requests: list[bytes] = []

    def serve(self, *responses: bytes, close: bool = False) -> None:
        """Responds to calls on one connection, in a thread."""

        def run_server() -> None:
            sock, _ = self.listener.accept()
            with sock:
                sock.settimeout(TIMEOUT_S)
                for response in responses:
                    self.requests.append(sock.recv(4096))
                    sock.sendall(response)
                if not close:
                    sock.recv(1)

        threading.Thread(target=run_server, daemon=True).start()

    def call(self, *bodies: bytes) -> list[tuple[int | None, bytes]]:
        """Makes calls one after the other and returns their results."""
        client = http_client.HttpClient(self.loop, self.listener.getsockname())
        results: list[tuple[int | None, bytes]] = []
        remaining = list(bodies)

        def call_next() -> None:
            method = "POST" if remaining[0] else "GET"
            client.call(method, "/kv", remaining.pop(0), 1.0, done)

        def done(status: int | None, body: bytes) -> None:
            results.append((status, body))
            if remaining:
                call_next()
            else:
                self.loop.stopped = True

        call_next()
        self.run_loop()
        client.close()
        return results

    def test_calls_share_a_connection(self) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.serve(response, response)
        self.assertEqual([(200, b"ok")] * 2, self.call(b"{}", b""))
        self.assertTrue(self.requests[0].endswith(b"\r\n\r\n{}"))
        self.assertIn(b"Content-Length: 2\r\n", self.requests[0])
        self.assertTrue(self.requests[1].startswith(b"GET /kv HTTP/1.1\r\n"))

    def test_chunks_of_a_response_are_joined(self) -> None:
        self.serve(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        self.assertEqual([(200, b"abc")], self.call(b""))

    def test_response_that_ends_with_the_connection_is_complete(self) -> None:
        self.serve(b"HTTP/1.1 200 OK\r\n\r\nabc", close=True)
        self.assertEqual([(200, b"abc")], self.call(b""))

    def test_truncated_response_is_a_failed_call(self) -> None:
        self.serve(
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", close=True
        )
        self.assertEqual([(None, b"")], self.call(b""))

    def test_malformed_response_is_a_failed_call(self) -> None:
        self.serve(b"nothing of the kind\r\n\r\n")
        self.assertEqual([(None, b"")], self.call(b""))

    # Guards against a limit on the duration of a whole transfer, which large
    # responses over slow links exceed.
    def test_response_that_keeps_arriving_is_waited_for(self) -> None:
        parts = [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"]
        parts += [b"a"] * 4

        def run_server() -> None:
            sock, _ = self.listener.accept()
            with sock:
                sock.recv(4096)
                for part in parts:
                    sock.sendall(part)
                    time.sleep(0.4)

        threading.Thread(target=run_server, daemon=True).start()
        self.assertEqual([(200, b"aaaa")], self.call(b""))

    def test_response_that_stops_arriving_is_a_failed_call(self) -> None:
        self.serve(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")
        self.assertEqual([(None, b"")], self.call(b""))

    def test_response_above_the_limit_is_a_failed_call(self) -> None:
        for head, body in (
            (b"Content-Length: 900", b"a"),
            (b"Transfer-Encoding: chunked", b"c\r\n" + b"a" * 12),
        ):
            with self.subTest(head=head):
                self.serve(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + body)
                client = http_client.HttpClient(
                    self.loop, self.listener.getsockname()
                )
                results: list[tuple[int | None, bool]] = []

                def done(
                    status: int | None,
                    body: bytes,
                    client: http_client.HttpClient = client,
                    results: list[tuple[int | None, bool]] = results,
                ) -> None:
                    results.append((status, client.is_body_too_large))
                    self.loop.stopped = True

                self.loop.stopped = False
                client.call("GET", "/kv", b"", 1.0, done, max_body_bytes=10)
                self.run_loop()
                self.assertEqual([(None, True)], results)

    def test_call_without_response_times_out(self) -> None:
        self.serve(b"")
        self.assertEqual([(None, b"")], self.call(b""))

    def test_refused_connection_is_a_failed_call(self) -> None:
        self.listener.close()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.assertEqual([(None, b"")], self.call(b""))
