"""Moments as people write them on the command line."""

import re
from datetime import UTC, datetime
from types import MappingProxyType
from typing import Final

from expression import Error, Ok, Result

MILLISECONDS: Final = 1000
AGO: Final = re.compile('(?P<number>[0-9]{1,9})(?P<unit>[smh])')
# Milliseconds of each unit.
UNITS: Final = MappingProxyType({'s': 1000, 'm': 60000, 'h': 3600000})


def parse_moment(text: str, now: int) -> Result[int, str]:
    """Return milliseconds since 1970; `now` is counted so too.

    A number with s, m or h is that long before now, all else ISO 8601, in
    UTC where it names no zone.

    >>> parse_moment('2m', 200000).ok
    80000
    >>> parse_moment('1970-01-01T00:00:01', 0).ok
    1000
    >>> parse_moment('noon', 0).error
    "found 'noon': write 30s, 5m, 2h or 2026-05-01T10:00:00"
    """
    ago = AGO.fullmatch(text)
    if ago is not None:
        number = int(ago['number'])
        return Ok(now - number * UNITS[ago['unit']])
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return Error(
            f'found {text!r}: write 30s, 5m, 2h or 2026-05-01T10:00:00',
        )
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return Ok(round(moment.timestamp() * MILLISECONDS))
