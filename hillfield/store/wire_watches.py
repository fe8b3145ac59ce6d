"""Messages of the gateway's watches."""

from typing import Literal

from msgspec import field

from hillfield.store.wire import Header, KeyValue, Message, Status


class WatchCreate(Message, frozen=True):
    """Ask for all events of a range from a revision on."""

    key: bytes = b''
    range_end: bytes = b''
    start_revision: int = 0
    progress_notify: bool = False


class WatchRequest(Message, frozen=True):
    """Open a watch."""

    create_request: WatchCreate | None = None


class Event(Message, frozen=True):
    """Hold one write or deletion."""

    kind: Literal['PUT', 'DELETE'] = field(name='type', default='PUT')
    kv: KeyValue = KeyValue()


class WatchResponse(Message, frozen=True):
    """Hold all events of one or more whole revisions."""

    header: Header = Header()
    watch_id: int = 0
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ''
    events: tuple[Event, ...] = ()


class WatchLine(Message, frozen=True):
    """Hold one line of the stream of a watch."""

    outcome: WatchResponse | None = field(name='result', default=None)
    error: Status | None = None
