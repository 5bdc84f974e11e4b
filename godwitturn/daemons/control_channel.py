"""Authenticated, encrypted messages between daemons: ZeroMQ with CURVE."""

from collections.abc import Callable
import functools

import attrs
from nacl import public
import trio
import zmq
from zmq.utils import z85

from godwitturn.core import addresses

MAX_MESSAGE_BYTES = 64 << 10
# Maximum number of messages queued for a peer that does not read them. Further
# messages are dropped; after the next digest, peers send what is missing.
HIGH_WATER_MARK_MESSAGES = 256
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 4000
# A peer whose handshake was refused connects again only after this timeout.
# ZeroMQ's default is 30 s.
HANDSHAKE_TIMEOUT_MS = 1000
RECONNECT_INTERVAL_MS = 100
RECONNECT_MAX_INTERVAL_MS = 2000
# Endpoint and version of ZAP, by which ZeroMQ asks the application whether to
# accept a peer's key.
ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
# Converted to an integer, because the operators of pyzmq's enumeration take
# longer than the call of `getsockopt`.
_POLLIN = int(zmq.POLLIN)
# Decoded keys that are cached; a daemon receives messages from fewer peers in
# a minute.
_KEY_CACHE_SIZE = 1024

# Takes the public key of a peer and its message.
Receiver = Callable[[bytes, bytes], None]


@attrs.frozen
class KeyPair:
    """An X25519 key pair, 32 bytes each."""

    public_key: bytes
    secret_key: bytes = attrs.field(repr=False)

    @classmethod
    def from_secret_key(cls, secret_key: bytes) -> "KeyPair":
        """Returns the key pair of a secret key of 32 bytes."""
        key = public.PrivateKey(secret_key)
        return cls(bytes(key.public_key), secret_key)


def pair_key(own: KeyPair, peer_public_key: bytes) -> bytes:
    """Returns the secret that two members share, 32 bytes."""
    box = public.Box(
        public.PrivateKey(own.secret_key), public.PublicKey(peer_public_key)
    )
    return box.shared_key()


def _file_descriptor(socket: zmq.Socket) -> int:
    return int(socket.getsockopt(zmq.FD))


def _is_readable(socket: zmq.Socket) -> bool:
    return bool(int(socket.getsockopt(zmq.EVENTS)) & _POLLIN)


@functools.lru_cache(maxsize=_KEY_CACHE_SIZE)
def _decode_key(user_id: str) -> bytes:
    # Cached, because decoding runs in Python and the same peers send messages
    # every second.
    return z85.decode(user_id)


def _endpoint(address: addresses.Address) -> str:
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"tcp://{host}:{address.port}"


class ControlChannel:
    """Exchanges messages with peers, which their public keys identify.

    Attributes:
        address: Address that peers connect to.
        sent_bytes: Bytes of messages handed to ZeroMQ.
        received_bytes: Bytes of messages received.
        refused_handshakes: Number of handshakes refused because of the key.
    """

    def __init__(
        self,
        *,
        address: addresses.Address,
        keys: KeyPair,
        is_allowed: Callable[[bytes], bool],
        receive: Receiver,
    ) -> None:
        self._keys = keys
        self._is_allowed = is_allowed
        self._receive = receive
        self._context = zmq.Context(io_threads=1)
        self._dealer_by_key: dict[bytes, zmq.Socket] = {}
        self._address_by_key: dict[bytes, addresses.Address] = {}
        self._routing_id_by_key: dict[bytes, bytes] = {}
        self._zap = self._open_zap()
        self._router = self._open_router(address)
        self._nursery: trio.Nursery | None = None
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = addresses.Address(
            address.host, int(endpoint.rpartition(":")[2])
        )
        self.sent_bytes = 0
        self.received_bytes = 0
        self.refused_handshakes = 0

    def _open_zap(self) -> zmq.Socket:
        zap = self._context.socket(zmq.ROUTER)
        zap.setsockopt(zmq.LINGER, 0)
        zap.bind(ZAP_ENDPOINT)
        return zap

    def _configure(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secret_key)
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self._keys.public_key)

    def _open_router(self, address: addresses.Address) -> zmq.Socket:
        router = self._context.socket(zmq.ROUTER)
        self._configure(router)
        router.setsockopt(zmq.CURVE_SERVER, 1)
        router.setsockopt_string(zmq.ZAP_DOMAIN, "godwitturn")
        router.setsockopt(zmq.IPV6, 1 if ":" in address.host else 0)
        # A peer that reconnects takes over its routing id at once.
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        router.bind(_endpoint(address))
        return router

    def connect(self, public_key: bytes, address: addresses.Address) -> None:
        """Connects to a peer and reconnects automatically until `disconnect`.

        A connection to another address of the same peer is closed.
        """
        if self._address_by_key.get(public_key) == address:
            return
        self.disconnect(public_key)
        dealer = self._context.socket(zmq.DEALER)
        self._configure(dealer)
        dealer.setsockopt(zmq.IPV6, 1 if ":" in address.host else 0)
        dealer.setsockopt(zmq.CURVE_SERVERKEY, public_key)
        dealer.setsockopt(zmq.ROUTING_ID, self._keys.public_key)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_INTERVAL_MS)
        dealer.connect(_endpoint(address))
        self._dealer_by_key[public_key] = dealer
        self._address_by_key[public_key] = address
        if self._nursery is not None:
            self._nursery.start_soon(self._serve_dealer, public_key, dealer)

    def disconnect(self, public_key: bytes) -> None:
        """Closes the connection to a peer if this channel opened one."""
        self._address_by_key.pop(public_key, None)
        dealer = self._dealer_by_key.pop(public_key, None)
        if dealer is not None:
            trio.lowlevel.notify_closing(_file_descriptor(dealer))
            dealer.close()

    def send(self, public_key: bytes, message: bytes) -> bool:
        """Sends a message without waiting.

        Returns:
            Whether the message was queued: False if the peer is not connected
            or its queue is full.
        """
        dealer = self._dealer_by_key.get(public_key)
        try:
            if dealer is not None:
                dealer.send(message, zmq.NOBLOCK)
                self._drain_dealer(public_key, dealer)
            elif public_key in self._routing_id_by_key:
                routing_id = self._routing_id_by_key[public_key]
                self._router.send_multipart([routing_id, message], zmq.NOBLOCK)
                self._drain_router()
            else:
                return False
        except zmq.ZMQError:
            return False
        self.sent_bytes += len(message)
        return True

    def _drain_dealer(self, public_key: bytes, dealer: zmq.Socket) -> None:
        # The descriptor is edge-triggered: a send may consume the notification
        # of a message that has arrived, so callers drain after each send too.
        while not dealer.closed and _is_readable(dealer):
            frames = dealer.recv_multipart(zmq.NOBLOCK)
            if len(frames) == 1:
                self._deliver(public_key, frames[0])

    def _drain_router(self) -> None:
        while _is_readable(self._router):
            frames = self._router.recv_multipart(zmq.NOBLOCK, copy=False)
            if len(frames) != 2:
                continue
            # The user id of the answer to the peer's ZAP request.
            public_key = _decode_key(str(frames[1].get("User-Id")))
            self._routing_id_by_key[public_key] = frames[0].bytes
            self._deliver(public_key, frames[1].bytes)

    def _answer_zap_requests(self) -> None:
        while _is_readable(self._zap):
            frames = self._zap.recv_multipart(zmq.NOBLOCK)
            envelope_length = frames.index(b"") + 1
            # Version, request id, domain, address, routing id, mechanism and
            # public key.
            request = frames[envelope_length:]
            is_key_allowed = (
                len(request) == 7
                and request[0] == ZAP_VERSION
                and request[5] == b"CURVE"
                and self._is_allowed(request[6])
            )
            self.refused_handshakes += not is_key_allowed
            # Status 300, a temporary error: after status 400, the peer's
            # libzmq would not connect again, but an unknown key may be
            # approved a moment later.
            status = (
                [b"200", b"OK"] if is_key_allowed else [b"300", b"unknown key"]
            )
            user_id = z85.encode(request[6]) if is_key_allowed else b""
            reply = [ZAP_VERSION, request[1], *status, user_id, b""]
            self._zap.send_multipart(
                frames[:envelope_length] + reply, zmq.NOBLOCK
            )

    def _deliver(self, public_key: bytes, message: bytes) -> None:
        self.received_bytes += len(message)
        self._receive(public_key, message)

    async def _serve_dealer(
        self, public_key: bytes, dealer: zmq.Socket
    ) -> None:
        while not dealer.closed:
            self._drain_dealer(public_key, dealer)
            if dealer.closed:
                return
            try:
                await trio.lowlevel.wait_readable(_file_descriptor(dealer))
            except trio.ClosedResourceError:
                return

    async def _serve(
        self, socket: zmq.Socket, drain: Callable[[], None]
    ) -> None:
        while True:
            drain()
            await trio.lowlevel.wait_readable(_file_descriptor(socket))
            await trio.lowlevel.checkpoint()

    async def run(self) -> None:
        """Receives until cancelled, then closes all sockets."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(
                    self._serve, self._zap, self._answer_zap_requests
                )
                nursery.start_soon(
                    self._serve, self._router, self._drain_router
                )
                for public_key, dealer in self._dealer_by_key.items():
                    nursery.start_soon(self._serve_dealer, public_key, dealer)
        finally:
            self._close()

    def _close(self) -> None:
        for dealer in self._dealer_by_key.values():
            dealer.close()
        self._router.close()
        self._zap.close()
        self._context.term()
