"""Routing tokens: authenticated names of the target that owns a flow."""

from collections.abc import Mapping
import hashlib
import hmac
import struct

import attrs

from godwitturn.core import addresses
from godwitturn.core import identity

TOKEN_VERSION = 1
TOKEN_BYTES = 32
MAC_BYTES = 8
EMPTY = bytes(TOKEN_BYTES)

# key id, version, service id, target id, incarnation, epoch, address tag
_BODY = struct.Struct("!BBHQIII")
_FLOW_ID = struct.Struct("!Q")


@attrs.define
class Token:
    """The content of a routing token.

    Attributes:
        key_id: Number of the token key that sealed it.
        service_id: The service of the flow.
        target_id: The member id, not the address, of the target.
        incarnation: Random number drawn at each start of the agent.
        epoch: Number of the reservation at that agent.
        address_tag: Keyed digest of the caller's address, see `address_tag()`.
    """

    key_id: int
    service_id: int
    target_id: identity.MemberId
    incarnation: int
    epoch: int
    address_tag: int


@attrs.frozen
class TokenKey:
    """A secret that seals tokens of one service.

    Attributes:
        key_id: Number of the key, 0 to 255.
        service_id: The only service that the key is valid for.
        secret: 16 to 64 bytes.
    """

    key_id: int
    service_id: int
    secret: bytes = attrs.field(repr=False)


KeyTable = Mapping[tuple[int, int], TokenKey]


def keys_by_id(keys: list[TokenKey]) -> KeyTable:
    """Returns the keys by (service id, key id)."""
    return {(key.service_id, key.key_id): key for key in keys}


def address_tag(address: addresses.Address, key: TokenKey) -> int:
    """Returns a 32-bit keyed digest of a caller's address."""
    text = f"{address.host}|{address.port}".encode()
    digest = hashlib.blake2b(text, key=key.secret, digest_size=4).digest()
    return int.from_bytes(digest, "big")


def _mac(body: bytes, flow_id: int, secret: bytes) -> bytes:
    return hashlib.blake2b(
        body + _FLOW_ID.pack(flow_id), key=secret, digest_size=MAC_BYTES
    ).digest()


def seal(token: Token, flow_id: int, key: TokenKey) -> bytes:
    """Encodes and authenticates a token of one flow; returns 32 bytes."""
    body = _BODY.pack(
        token.key_id,
        TOKEN_VERSION,
        token.service_id,
        token.target_id,
        token.incarnation,
        token.epoch,
        token.address_tag,
    )
    return body + _mac(body, flow_id, key.secret)


def unseal(data: bytes, flow_id: int, keys: KeyTable) -> Token | None:
    """Verifies and decodes a token; returns None if it is not authentic.

    Args:
        data: 32 bytes from a packet header.
        flow_id: The flow id in the same header; a token of another flow is
            not authentic.
        keys: The valid token keys, by (service id, key id).
    """
    body = data[: _BODY.size]
    key_id, version, service_id, target, incarnation, epoch, tag = (
        _BODY.unpack(body)
    )
    key = keys.get((service_id, key_id))
    if key is None or version != TOKEN_VERSION:
        return None
    mac = _mac(body, flow_id, key.secret)
    if not hmac.compare_digest(mac, data[_BODY.size :]):
        return None
    return Token(key_id, service_id, target, incarnation, epoch, tag)
