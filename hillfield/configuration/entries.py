"""Configuration as it lies in the store and goes between nodes."""

from msgspec import Struct


class Entry(Struct, frozen=True):
    """Hold one stored value of the configuration.

    `revision` is the store's revision of the write; of two entries with the
    same key the higher revision is the newer one, always. An empty payload
    is a deletion.
    """

    key: str
    revision: int
    payload: bytes
