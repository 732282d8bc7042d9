"""Callers' keys: which tenant each one identifies, held as keyed digests."""

from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b
from typing import Final

from attrs import frozen

# Two of 1e9 keys have the same digest with a probability below 1e-20.
DIGEST_BYTES: Final = 16


class KeyFault(Enum):
    """Why the key of a request is refused."""

    # There is no `Authorization` field.
    MISSING = "missing"
    # The field has another scheme than Bearer.
    SCHEME = "scheme"
    # The field has no key.
    EMPTY = "empty"
    # There are several keys or several fields.
    SEVERAL = "several"
    # No tenant has the key.
    UNKNOWN = "unknown"


@frozen
class Tenant:
    """A customer of the platform, whose callers share keys and a fraction of the capacity."""

    name: str
    # Priority rank of its requests instead of their route's, or None; 0 is served first.
    rank: int | None = None


class DuplicateKeyError(ValueError):
    """Two tenants have one key; names the tenants and not the key."""

    def __init__(self, first: str, second: str) -> None:
        super().__init__(f"tenants {first!r} and {second!r} have a key in common")


class TenantKeys:
    """The tenants of one version of the configuration, by the digests of their keys."""

    # Number of tenants, including those without a key.
    tenant_count: int
    # Hash keyed with a secret: the time of a look-up depends on digests that no caller can choose
    # or predict, so it reveals nothing of a key. Copying it is faster than keying a new one.
    _hash: blake2b
    _tenants: dict[bytes, Tenant]

    def __init__(self, keys_by_tenant: Iterable[tuple[Tenant, Iterable[str]]], secret: bytes):
        """Hashes the keys.

        Args:
            keys_by_tenant: Each tenant with its keys.
            secret: Random bytes of this process, at most 64.

        Raises:
            DuplicateKeyError: Two tenants have one key.
        """
        self.tenant_count = 0
        self._hash = blake2b(digest_size=DIGEST_BYTES, key=secret)
        self._tenants = {}
        for tenant, keys in keys_by_tenant:
            self.tenant_count += 1
            for key in keys:
                other = self._tenants.setdefault(self._digest(key.encode()), tenant)
                if other is not tenant:
                    raise DuplicateKeyError(other.name, tenant.name)

    def __repr__(self) -> str:
        """Returns the numbers of tenants and keys only."""
        return f"TenantKeys({self.tenant_count} tenants, {self.key_count} keys)"

    @property
    def key_count(self) -> int:
        """Returns the number of different keys."""
        return len(self._tenants)

    def find(self, key: bytes) -> Tenant | None:
        """Returns the tenant of a key, or None; takes constant time."""
        return self._tenants.get(self._digest(key))

    def count_missing(self, other: "TenantKeys") -> int:
        """Returns how many keys of another version, digested with the same secret, are not here."""
        return len(other._tenants.keys() - self._tenants.keys())

    def _digest(self, key: bytes) -> bytes:
        digest = self._hash.copy()
        digest.update(key)
        return digest.digest()


NO_KEYS: Final = TenantKeys((), b"")
