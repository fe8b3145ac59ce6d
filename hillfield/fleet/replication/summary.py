"""Hashes over many versions, kept up to date one change at a time."""

from typing import Final

from xxhash import xxh3_64_intdigest

from hillfield.fleet.messages import Version

BUCKETS: Final = 64


def hash_text(text: str) -> int:
    """Return a hash that all nodes agree on."""
    return xxh3_64_intdigest(text.encode())


def compute_bucket(key: str) -> int:
    """Return the bucket of a key."""
    return hash_text(key) % BUCKETS


class Summary:
    """Sum up versions by bucket; equal sets have equal sums in any order.

    >>> ahead, behind = Summary(), Summary()
    >>> ahead.put(Version('a', 0, 2))
    >>> behind.put(Version('a', 0, 1))
    >>> ahead.total == behind.total
    False
    >>> behind.put(Version('a', 0, 2))
    >>> ahead.total == behind.total
    True
    """

    def __init__(self) -> None:
        """Start empty."""
        self.total = 0
        self._sums = [0 for _ in range(BUCKETS)]
        self._versions: tuple[dict[str, Version], ...] = tuple(
            {} for _ in range(BUCKETS)
        )

    def __len__(self) -> int:
        """Return how many keys are summed up."""
        return sum(len(versions) for versions in self._versions)

    def put(self, version: Version) -> None:
        """Take a key's version in place of an earlier one."""
        self.drop(version.key)
        bucket = compute_bucket(version.key)
        self._versions[bucket][version.key] = version
        self._mix(bucket, version)

    def drop(self, key: str) -> None:
        """Leave a key out."""
        bucket = compute_bucket(key)
        version = self._versions[bucket].pop(key, None)
        if version is not None:
            self._mix(bucket, version)

    def get(self, key: str) -> Version | None:
        """Return the version of a key."""
        return self._versions[compute_bucket(key)].get(key)

    def keys(self) -> tuple[str, ...]:
        """Return all keys."""
        return tuple(key for bucket in self._versions for key in bucket)

    def sums(self) -> tuple[int, ...]:
        """Return the sum of each bucket."""
        return tuple(self._sums)

    def versions(self, bucket: int) -> tuple[Version, ...]:
        """Return what one bucket holds."""
        return tuple(self._versions[bucket].values())

    def _mix(self, bucket: int, version: Version) -> None:
        mixed = hash_text(
            f'{version.key}|{version.incarnation}|{version.version}',
        )
        self._sums[bucket] ^= mixed
        self.total ^= mixed
