"""Faults that the store stand-in can be told to have."""

from enum import StrEnum

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import fields


class Outage(StrEnum):
    """Name how a store is down."""

    NONE = 'none'
    REFUSE = 'refuse'
    UNAVAILABLE = 'unavailable'


class StoreFaults(msgspec.Struct, frozen=True):
    """Say what is wrong now; the default is that nothing is.

    `outage`: connections are refused, or all calls get status 503 and
    running watches end. `delay`: seconds before each answer. `lost_answers`:
    so many of the next writes take effect and have their connection closed
    instead of an answer; `lost_reads` does it to reads. `stale_reads`: so many of the next reads are
    answered as of `stale_by` revisions ago. `silent_watches`: watches stay
    open and send nothing.
    """

    outage: Outage = Outage.NONE
    delay: float = 0
    lost_answers: int = 0
    lost_reads: int = 0
    stale_reads: int = 0
    stale_by: int = 1
    silent_watches: bool = False


def parse_faults(text: bytes) -> Result[StoreFaults, str]:
    """Read faults from JSON; the error says which field is wrong.

    >>> parse_faults(b'{"lost_answers": 2}').ok.lost_answers
    2
    >>> parse_faults(b'{"lots_answers": 2}').error
    "unknown fields: ['lots_answers']"
    """
    try:
        return Ok(_decode_faults(text))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(str(error))


def _decode_faults(text: bytes) -> StoreFaults:
    table = msgspec.json.decode(text, type=dict[str, object])
    unknown = set(table) - {known.name for known in fields(StoreFaults)}
    if unknown:
        raise msgspec.ValidationError(f'unknown fields: {sorted(unknown)}')
    return msgspec.convert(table, StoreFaults)
