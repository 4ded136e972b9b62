"""Names of versions, and the digest that a name carries.

The digest of a version is SHA-256 over its number and the sum, modulo 2**256, of the SHA-256 of each entry. A sum can
be carried on from one version to the next with the changed entries alone, so checking a change costs as much as the
change and not as much as the configuration. It finds corruption and software faults; it is no protection against an
attacker who can choose many entries, which is why it must not be used on untrusted connections.
"""

from __future__ import annotations

import hashlib
from typing import Annotated

from msgspec import Meta, Struct

DIGEST_BYTES = 32
MODULUS = 1 << (8 * DIGEST_BYTES)
MOST_KEY_BYTES = 1024

Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the configuration."""

    key: Annotated[str, Meta(min_length=1, max_length=MOST_KEY_BYTES)]
    value: bytes


class VersionName(Struct, frozen=True, array_like=True):
    """Names one version: its number, which is never used twice, and its digest."""

    number: Number
    digest: Digest


def entry_hash(key: str, value: bytes) -> int:
    """Hash one entry; the key's length goes first, so that no two entries are written alike."""
    encoded = key.encode()
    hashed = hashlib.sha256(len(encoded).to_bytes(4, "big"))
    hashed.update(encoded)
    hashed.update(value)
    return int.from_bytes(hashed.digest(), "big")


def version_name(number: int, total: int) -> VersionName:
    """Name the version with this number whose entries' hashes have this sum."""
    written = number.to_bytes(8, "big") + (total % MODULUS).to_bytes(DIGEST_BYTES, "big")
    return VersionName(number, hashlib.sha256(written).digest())


EMPTY = version_name(0, 0)
