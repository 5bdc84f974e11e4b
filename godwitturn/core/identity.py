"""Identities of members: balancers and agents of targets."""

import hashlib

# A 64-bit integer. An alias instead of a class, because ids are unpacked from
# headers as integers.
MemberId = int

MEMBER_ID_BYTES = 8


def member_id_of(public_key: bytes) -> MemberId:
    """Returns the id of the member that owns a public key.

    The id is a digest of the key, so that a VM with a new key can't take over
    the id of the VM that it replaces.

    Args:
        public_key: The member's X25519 (CURVE) public key, 32 bytes.
    """
    digest = hashlib.blake2b(public_key, digest_size=MEMBER_ID_BYTES)
    return int.from_bytes(digest.digest(), "big")
