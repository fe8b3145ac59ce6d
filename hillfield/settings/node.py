"""Settings of one node."""

from typing import Annotated, Final

from expression import Error, Ok, Result
from msgspec import Meta, Struct, ValidationError, convert

from hillfield.model import Address, Locality
from hillfield.settings.sections import (
    AnnouncementSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    Seconds,
    TimelineSettings,
)

SHORTEST_KEY: Final = 16
LONGEST_KEY: Final = 1024
NAME_FIX: Final = (
    'write 1 to 63 letters, digits, dots, dashes or underscores,'
    ' a letter or digit first'
)

Name = Annotated[
    str,
    Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z',
        description=NAME_FIX,
    ),
]
Key = Annotated[
    str,
    Meta(
        min_length=SHORTEST_KEY,
        max_length=LONGEST_KEY,
        description='write 16 to 1024 characters, the same in the whole'
        ' cluster, or name a file in cluster_key_file',
    ),
]


class NodeSettings(Struct, frozen=True):
    """Hold all that a node learns from its file.

    `cluster_key` authenticates peers and is kept out of `repr`; `stores` are
    the addresses of the platform's key-value service, `seeds` link addresses
    of nodes to meet first, `drain_bound` seconds that a shutdown waits for
    work in flight.
    """

    name: Name
    cluster: Name
    cluster_key: Key
    locality: Locality
    listen: ListenSettings
    stores: tuple[Address, ...]
    seeds: tuple[Address, ...] = ()
    limits: LimitSettings = LimitSettings()
    announcements: AnnouncementSettings = AnnouncementSettings()
    timeline: TimelineSettings = TimelineSettings()
    log: LogSettings = LogSettings()
    drain_bound: Seconds = 30

    def __repr__(self) -> str:
        """Return the node's name and cluster; the key stays hidden."""
        return f'NodeSettings({self.name!r}, {self.cluster!r})'


def check_cluster(text: str) -> Result[str, str]:
    """Return the name of a cluster if it may be one; the error is the fix.

    >>> check_cluster('north').ok
    'north'
    >>> check_cluster('north/east').is_error()
    True
    """
    try:
        return Ok(convert(text, Name))
    except ValidationError:
        return Error(f'found {text!r}: {NAME_FIX}')
