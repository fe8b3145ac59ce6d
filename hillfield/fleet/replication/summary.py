"""Incremental hashes over the versions of many keys."""

from typing import Final

from xxhash import xxh3_64_intdigest

from hillfield.fleet.messages import Version

BUCKETS: Final = 64


def hash_text(text: str) -> int:
    """Return a hash that is the same at all nodes."""
    return xxh3_64_intdigest(text.encode())


def compute_bucket(key: str) -> int:
    """Return the bucket of a key."""
    return hash_text(key) % BUCKETS


class Summary:
    """Hash versions by bucket; equal sets have equal hashes in any order.

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
        """Return how many keys are included."""
        return sum(len(versions) for versions in self._versions)

    def put(self, version: Version) -> None:
        """Set the version of a key."""
        self.drop(version.key)
        bucket = compute_bucket(version.key)
        self._versions[bucket][version.key] = version
        self._mix(bucket, version)

    def drop(self, key: str) -> None:
        """Remove a key."""
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
        """Return the hash of each bucket."""
        return tuple(self._sums)

    def versions(self, bucket: int) -> tuple[Version, ...]:
        """Return the versions in one bucket."""
        return tuple(self._versions[bucket].values())

    def _mix(self, bucket: int, version: Version) -> None:
        mixed = hash_text(
            f'{version.key}|{version.incarnation}|{version.version}',
        )
        self._sums[bucket] ^= mixed
        self.total ^= mixed
