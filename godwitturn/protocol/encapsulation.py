"""The datagram between balancer and agent, which wraps a caller's packet."""

from collections.abc import Mapping
import enum
import functools
import hashlib
import hmac
import socket
import struct

import attrs

from godwitturn.core import addresses
from godwitturn.core import identity
from godwitturn.core import target_stats

VERSION = 1
MAC_BYTES = 16
MAX_CANDIDATES = 3

# version, kind, tries, flags, sender, destination, configuration version,
# address family, host, port, three candidates, then the load report: flows,
# flow limit, running, queued, capacity in thousandths
_HEADER = struct.Struct("!BBBBQQQB16sHQQQIIHHH")
HEADER_BYTES = _HEADER.size
_SENDER_OFFSET = 4
_SENDER = struct.Struct("!Q")
_ENDPOINTS = struct.Struct("!QQ")
_IPV4 = 4
_IPV6 = 6


class Kind(enum.IntEnum):
    """Kind of an encapsulated datagram."""

    DELIVER = 1
    RETURN = 2
    OPEN_RETURNED = 3
    CORRECTION = 4


class Flag(enum.IntFlag):
    """Flags of an encapsulated datagram."""

    NONE = 0
    DRAINING = 1


KIND_BY_NUMBER = {int(kind): kind for kind in Kind}


@attrs.define
class Message:
    """A packet of or for a caller, sent between balancer and agent.

    Attributes:
        kind: `DELIVER` for messages to the agent, other kinds from it.
        sender: Member id of the sender.
        destination: Member id of the receiver; other members drop the message.
        configuration_version: Configuration version in force at the sender.
        caller: Address of the caller.
        packet: The datagram of or for the caller, unchanged; empty in a
            `CORRECTION`.
        tries: Number of targets that have returned this opening.
        candidates: Targets still to try for an opening, best first. In a
            `CORRECTION`, the member that the packet was addressed to; empty
            if only the service was wrong.
        load: Load of the target; None in messages to the agent.
    """

    kind: Kind
    sender: identity.MemberId
    destination: identity.MemberId
    configuration_version: int
    caller: addresses.Address
    packet: bytes
    tries: int = 0
    candidates: tuple[identity.MemberId, ...] = ()
    load: target_stats.Load | None = None


@functools.lru_cache(maxsize=8192)
def _pack_host(host: str) -> tuple[int, bytes]:
    if ":" in host:
        return _IPV6, socket.inet_pton(socket.AF_INET6, host)
    return _IPV4, socket.inet_pton(socket.AF_INET, host).ljust(16, b"\0")


@functools.lru_cache(maxsize=8192)
def _unpack_host(family: int, packed: bytes) -> str | None:
    if family == _IPV6:
        return socket.inet_ntop(socket.AF_INET6, packed)
    if family == _IPV4:
        return socket.inet_ntop(socket.AF_INET, packed[:4])
    return None


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=MAC_BYTES).digest()


def encode(message: Message, key: bytes) -> bytes:
    """Encodes and authenticates a message.

    Args:
        message: The message, with at most three candidates.
        key: Pair key of sender and destination, 32 bytes.

    Raises:
        OSError: The host of the caller's address is no IP address, or has a
            zone.
    """
    caller_host, caller_port = message.caller
    family, host = _pack_host(caller_host)
    first = second = third = 0
    if message.candidates:
        first, second, third = (*message.candidates, 0, 0)[:MAX_CANDIDATES]
    flags = flows = flow_limit = running = queued = capacity = 0
    load = message.load
    if load is not None:
        flags = Flag.DRAINING if load.draining else Flag.NONE
        flows, flow_limit = load.flows, load.flow_limit
        running, queued, capacity = load.running, load.queued, load.capacity
    data = (
        _HEADER.pack(
            VERSION,
            message.kind,
            message.tries,
            flags,
            message.sender,
            message.destination,
            message.configuration_version,
            family,
            host,
            caller_port,
            first,
            second,
            third,
            flows,
            flow_limit,
            running,
            queued,
            capacity,
        )
        + message.packet
    )
    return data + _mac(data, key)


def decode(
    data: bytes, key_by_member: Mapping[identity.MemberId, bytes]
) -> Message | None:
    """Verifies and decodes a datagram; returns None if it is not valid.

    Args:
        data: The datagram.
        key_by_member: Pair keys of the receiver with each approved member.
            Messages of other senders are not authentic.
    """
    if len(data) < HEADER_BYTES + MAC_BYTES or data[0] != VERSION:
        return None
    (sender,) = _SENDER.unpack_from(data, _SENDER_OFFSET)
    key = key_by_member.get(sender)
    if key is None:
        return None
    if not hmac.compare_digest(
        _mac(data[:-MAC_BYTES], key), data[-MAC_BYTES:]
    ):
        return None
    return _unpack(data)


def claimed_endpoints(
    data: bytes,
) -> tuple[identity.MemberId, identity.MemberId] | None:
    """Returns the unverified sender and destination of a datagram, or None.

    A datagram for another member can't be verified, since its MAC is computed
    with a key that the receiver does not have.
    """
    if len(data) < HEADER_BYTES + MAC_BYTES or data[0] != VERSION:
        return None
    sender, destination = _ENDPOINTS.unpack_from(data, _SENDER_OFFSET)
    return sender, destination


def _unpack(data: bytes) -> Message | None:
    (
        _,
        kind_number,
        tries,
        flags,
        sender,
        destination,
        configuration_version,
        family,
        packed_host,
        port,
        first,
        second,
        third,
        flows,
        flow_limit,
        running,
        queued,
        capacity,
    ) = _HEADER.unpack_from(data)
    kind = KIND_BY_NUMBER.get(kind_number)
    host = _unpack_host(family, packed_host)
    if kind is None or host is None:
        return None
    load = None
    if kind != Kind.DELIVER:
        draining = bool(flags & Flag.DRAINING)
        load = target_stats.Load(
            flows, flow_limit, running, queued, capacity, draining
        )
    candidates = ()
    if first:
        candidates = tuple(c for c in (first, second, third) if c)
    return Message(
        kind,
        sender,
        destination,
        configuration_version,
        addresses.Address(host, port),
        data[HEADER_BYTES:-MAC_BYTES],
        tries,
        candidates,
        load,
    )
