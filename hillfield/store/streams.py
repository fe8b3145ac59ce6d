"""Watch a range over a streamed answer of the gateway."""

from asyncio import Future
from collections.abc import AsyncIterator
from contextlib import closing
from sys import maxsize

from expression import Error, Ok, Result
from msgspec.structs import replace
from tornado.httpclient import HTTPResponse

from hillfield.store.calls import Call, Dispatch
from hillfield.store.clients import ClosableClient
from hillfield.store.counters import CallKind
from hillfield.store.gateway_messages import build_range, read_events
from hillfield.store.line_feed import LineFeed, wait_for_line
from hillfield.store.ports import StoredValue, StoreError
from hillfield.store.store_settings import StoreSettings
from hillfield.store.transport import (
    NO_ADDRESS,
    Transport,
    describe_failure,
)
from hillfield.store.wire import decode_message
from hillfield.store.wire_watches import (
    WatchCreate,
    WatchLine,
    WatchRequest,
    WatchResponse,
)


class WatchStream:
    """Hold one watch's connection.

    Tornado's curl client can't cancel a request, so each watch has a client
    of its own, and closing that ends the watch.
    """

    def __init__(self, transport: Transport, call: Call, since: int) -> None:
        """Send the watch's request."""
        self._transport = transport
        self._call = call
        self._since = since
        self._compacted = False
        self._peer = str(transport.route.peer)
        self._feed = LineFeed(transport.settings)
        self._client = ClosableClient(
            force_instance=True,
            max_clients=1,
            max_body_size=maxsize,
        )
        request = transport.build_request(call, Dispatch(call))
        request.streaming_callback = self._feed.take
        request.request_timeout = 0
        self._end = self._client.fetch(request, raise_error=False)
        self._end.add_done_callback(self._note_end)

    def close(self) -> None:
        """Break the connection off."""
        self._end.remove_done_callback(self._note_end)
        self._end.cancel()
        self._client.close()

    async def read(
        self,
        patience: float,
    ) -> Result[tuple[StoredValue, ...], StoreError]:
        """Return the next changes, waiting up to `patience` seconds."""
        line = await wait_for_line(self._feed, patience)
        read = line.bind(lambda text: decode_message(WatchLine, text))
        reply = read.bind(self._accept)
        changes = reply.bind(lambda found: read_events(found.events))
        return changes.map_error(self._fail)

    def _accept(self, line: WatchLine) -> Result[WatchResponse, str]:
        if line.error is not None:
            return Error(line.error.text or 'refused')
        reply = line.outcome
        if reply is None:
            return Error('neither an answer nor an error')
        if reply.canceled:
            self._compacted = reply.compact_revision > 0
            return Error(reply.cancel_reason or 'cancelled')
        if reply.header.revision < self._since:
            # A store set back to a backup would wait in silence until it
            # has caught up.
            return Error('the store is behind the revision asked for')
        return Ok(reply)

    def _fail(self, detail: str) -> StoreError:
        self._transport.route.turn()
        error = self._transport.fail(
            self._call,
            self._peer,
            detail,
            sent=True,
        )
        return replace(error, compacted=self._compacted)

    def _note_end(self, end: 'Future[HTTPResponse]') -> None:
        error = end.exception()
        code = 0 if error else end.result().code
        reason = describe_failure(error) if error else f'HTTP {code}, ended'
        self._feed.finish(reason)


async def open_watch(
    transport: Transport,
    prefix: str,
    since: int,
) -> AsyncIterator[Result[StoredValue, StoreError]]:
    """Yield changes after a revision; ends after an error."""
    call = build_watch(prefix, since)
    counts = transport.counts
    if not transport.settings.addresses:
        yield Error(transport.fail(call, '', NO_ADDRESS, sent=False))
        return
    if counts.waiting_watches >= transport.settings.concurrent_watches:
        yield Error(transport.fail(call, '', 'too many watches', sent=False))
        return
    counts.note_started(CallKind.WATCH)
    stream = WatchStream(transport, call, since)
    with counts.watching(), closing(stream):
        async for change in _read_changes(stream, transport.settings):
            yield change


def build_watch(prefix: str, since: int) -> Call:
    """Build the call that watches a prefix."""
    span = build_range(prefix, after='', limit=0)
    create = WatchCreate(
        key=span.key,
        range_end=span.range_end,
        start_revision=since + 1,
        progress_notify=True,
    )
    message = WatchRequest(create_request=create)
    return Call(CallKind.WATCH, '/v3/watch', message)


async def _read_changes(
    stream: WatchStream,
    settings: StoreSettings,
) -> AsyncIterator[Result[StoredValue, StoreError]]:
    patience = settings.call_timeout
    while True:
        changes = await stream.read(patience)
        if changes.is_error():
            yield Error(changes.error)
            return
        for change in changes.ok:
            yield Ok(change)
        patience = settings.watch_silence_limit
