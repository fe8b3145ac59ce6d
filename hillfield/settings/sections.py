"""Sections of the settings; `Meta.description` tells how to fix a field."""

from enum import StrEnum
from typing import Annotated, Final

from msgspec import Meta, Struct

from hillfield.model import Address

LONGEST_SECONDS: Final = 3600
LARGEST_COUNT: Final = 1000000
LARGEST_BYTES: Final = 1073741824

Seconds = Annotated[
    float,
    Meta(
        gt=0,
        le=LONGEST_SECONDS,
        description='write seconds, above 0, up to 3600',
    ),
]
Count = Annotated[
    int,
    Meta(
        ge=1, le=LARGEST_COUNT, description='write a whole number, 1 to 1000000'
    ),
]
ByteCount = Annotated[
    int,
    Meta(
        ge=1024,
        le=LARGEST_BYTES,
        description='write a whole number of bytes, 1024 to 1073741824',
    ),
]


class LogFormat(StrEnum):
    """Name how log lines are written."""

    JSON = 'json'
    CONSOLE = 'console'


class LogLevel(StrEnum):
    """Name the least severity that is logged."""

    DEBUG = 'debug'
    INFORMATION = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class ListenSettings(Struct, frozen=True):
    """Say where the node listens; port 0 lets the system choose one."""

    callers: Address
    control: Address
    links: Address


class LimitSettings(Struct, frozen=True):
    """Bound what callers may ask of the node.

    `header_seconds` is the time for a request's head to arrive,
    `idle_seconds` how long a connection may rest, `replay_bytes` the size up
    to which a body is held whole for a retry, `buffer_bytes` what may wait
    in memory per direction of a relayed body.
    """

    connections: Count = 2000
    header_bytes: ByteCount = 32768
    body_bytes: ByteCount = LARGEST_BYTES
    replay_bytes: ByteCount = 65536
    buffer_bytes: ByteCount = 65536
    header_seconds: Seconds = 10
    idle_seconds: Seconds = 60


class AnnouncementSettings(Struct, frozen=True):
    """Bound announcements of targets.

    `heartbeat` is how often a target is asked to announce itself, `expiry`
    after how long a silent one is forgotten, `drain_seconds` how long a
    draining one stays listed, `change_interval` the least time between two
    changes of one target that can wait. `own_ips` are the host's addresses
    besides loopback and those that the node listens on.
    """

    heartbeat: Seconds = 1
    expiry: Seconds = 3
    drain_seconds: Seconds = 60
    maximum: Count = 256
    change_interval: Seconds = 5
    own_ips: tuple[str, ...] = ()


class TimelineSettings(Struct, frozen=True):
    """Bound the time line: events kept, and log lines a second per code."""

    events: Count = 4000
    lines_per_second: Count = 20


class LogSettings(Struct, frozen=True):
    """Say how log lines are written and the least severity shown."""

    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFORMATION
