"""By which ways an entry of the configuration comes to a node."""

from enum import StrEnum


class Way(StrEnum):
    """Name a way for the log."""

    WRITE = 'its own write'
    WATCH = 'a watch'
    READING = 'a reading'
    NEIGHBOUR = 'a neighbour'
