"""Read the settings file that the platform writes."""

from pathlib import Path
from typing import Final

from expression import Error, Ok, Result
from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import decode

from hillfield.model import (
    UNBOUNDED,
    Address,
    Locality,
    RepeatBound,
    parse_address,
)
from hillfield.settings import (
    AnnouncementSettings,
    LimitSettings,
    ListenSettings,
    NodeSettings,
)

SETTINGS_VARIABLE: Final = 'HILLFIELD_BOOT'
# Of the ports between nodes, counted from the first.
LINKS: Final = 0
HOPS: Final = 1
CONTROL: Final = 2
REPORTS: Final = 3
QUOTAS: Final = 4
CRASHES: Final = 5
DEPARTURES: Final = 6
# All nodes of one platform are one cluster. Its network is the platform's
# own, so the key only keeps stray messages out.
CLUSTER: Final = 'platform'
CLUSTER_KEY: Final = 'hillfield on the platform'
# Heartbeats that may be missing before a target is forgotten. Requests still
# reach a target whose heartbeats are cut off; one that is gone refuses
# connections, so forgetting it late costs nothing.
MISSED_BEATS: Final = 10
# Figures of the users' present sites, for a file that leaves them out.
HEARTBEAT: Final = 1.5
GRACE: Final = 6.0
BYTES_OF_A_MEGABYTE: Final = 1_000_000
FLOOR: Final = 0.7


class Listen(Struct, frozen=True):
    """Hold the addresses of what the role serves, as `ip:port`."""

    outbound: str
    ready: str
    control: str


class Limits(Struct, frozen=True, rename='camel'):
    """Hold what the machine gives the process."""

    max_fds: int = 4096
    memory_mb: float | None = None


class StorePlace(Struct, frozen=True):
    """Say where the platform's store is."""

    address: str


class BootFile(Struct, frozen=True, rename='camel'):
    """Hold the fields of the file that hillfield reads; others may come.

    `service` is the one that the host's target serves.
    """

    node: str
    ip: str
    zone: str
    region: str
    listen: Listen
    internal_ports: tuple[int, int]
    platform: StorePlace
    service: str = ''
    heartbeat: float = field(name='heartbeatS', default=HEARTBEAT)
    limits: Limits = field(default_factory=Limits)
    bounds: tuple[str, ...] = ()

    def bound(self, name: str, default: float) -> float:
        """Return the figure of a rule's bound."""
        for text in self.bounds:
            key, _, figure = text.partition('=')
            if key == name:
                return float(figure)
        return default


class Boot(Struct, frozen=True):
    """Hold what a node learns from the file.

    `grace` is the seconds between the platform's request to stop and the
    end, `repeats` bounds those of the whole fleet, `floor` the
    least share of a service's sound targets to be used, `memory` the bytes
    that the process may take (None: not told).
    """

    settings: NodeSettings
    service: str
    ready: Address
    heartbeats: Address
    hops: Address
    reports: Address
    quotas: Address
    crashes: Address
    departures: Address
    grace: float
    repeats: RepeatBound
    floor: float
    memory: int | None


def read_boot(path: Path) -> Result[Boot, str]:
    """Read the settings; the error names the field and the fix."""
    try:
        wire = decode(path.read_bytes(), type=BootFile)
    except OSError as missing:
        return Error(
            f'{path}: {missing.strerror}; set {SETTINGS_VARIABLE} to a file'
        )
    except (DecodeError, ValidationError) as wrong:
        return Error(f'{path}: {wrong}')
    try:
        return Ok(_make_boot(wire))
    except ValueError as error:
        return Error(f'{path}: {error}')


def _make_boot(wire: BootFile) -> Boot:
    first = wire.internal_ports[0]
    return Boot(
        settings=_make_settings(wire),
        service=wire.service,
        ready=_read_address('listen.ready', wire.listen.ready),
        heartbeats=_read_address('listen.control', wire.listen.control),
        hops=Address(wire.ip, first + HOPS),
        reports=Address(wire.ip, first + REPORTS),
        quotas=Address(wire.ip, first + QUOTAS),
        crashes=Address(wire.ip, first + CRASHES),
        departures=Address(wire.ip, first + DEPARTURES),
        grace=wire.bound('graceS', GRACE),
        repeats=RepeatBound(
            wire.bound('retryBudgetRatio', UNBOUNDED.ratio),
            wire.bound('retryBudgetSlack', UNBOUNDED.slack),
            wire.bound('retryWindowS', UNBOUNDED.window),
        ),
        floor=wire.bound('floorShare', FLOOR),
        memory=_read_memory(wire.limits),
    )


def _read_memory(limits: Limits) -> int | None:
    megabytes = limits.memory_mb
    return None if megabytes is None else int(megabytes * BYTES_OF_A_MEGABYTE)


def _make_settings(wire: BootFile) -> NodeSettings:
    first = wire.internal_ports[0]
    return NodeSettings(
        name=wire.node,
        cluster=CLUSTER,
        cluster_key=CLUSTER_KEY,
        locality=Locality(wire.region, wire.zone, wire.node),
        listen=ListenSettings(
            callers=_read_address('listen.outbound', wire.listen.outbound),
            control=Address(wire.ip, first + CONTROL),
            links=Address(wire.ip, first + LINKS),
        ),
        stores=(_read_address('platform.address', wire.platform.address),),
        limits=LimitSettings(connections=wire.limits.max_fds // 2),
        announcements=AnnouncementSettings(
            heartbeat=wire.heartbeat,
            expiry=MISSED_BEATS * wire.heartbeat,
        ),
    )


def _read_address(name: str, text: str) -> Address:
    address = parse_address(text)
    if address.is_error():
        raise ValueError(f'{name}: {address.error}')
    return address.ok
