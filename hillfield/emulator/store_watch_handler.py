"""Answer watches at the store stand-in."""

from datetime import timedelta
from itertools import groupby
from operator import attrgetter
from typing import Final

from msgspec.structs import replace
from tornado.iostream import StreamClosedError

from hillfield.emulator.store_core import INVALID
from hillfield.emulator.store_faults import Outage
from hillfield.emulator.store_handlers import GatewayHandler
from hillfield.emulator.store_state import StoreState
from hillfield.emulator.store_values import Refusal, Span
from hillfield.emulator.store_wire import write_change
from hillfield.store.counters import CallKind
from hillfield.store.wire import Header, encode_message
from hillfield.store.wire_watches import (
    WatchLine,
    WatchRequest,
    WatchResponse,
)

PROGRESS_INTERVAL: Final = 600
NEWLINE: Final = b'\n'


class WatchHandler(GatewayHandler):
    """Stream the changes of a range."""

    kind = CallKind.WATCH

    def initialize(
        self,
        state: StoreState,
        progress: float = PROGRESS_INTERVAL,
    ) -> None:
        """Take the state and the seconds between progress lines."""
        super().initialize(state)
        self._progress = timedelta(seconds=progress)
        self._gone = False

    async def post(self) -> None:
        """Send history from the asked revision on, then what comes."""
        create = self.read_body(WatchRequest).create_request
        if create is None:
            self.refuse(Refusal(INVALID, 'no create_request'))
            return
        client = self.request.headers.get('User-Agent', '')
        since = create.start_revision or self.state.core.revision + 1
        with self.state.calls.watching(client):
            await self._stream(Span(create.key, create.range_end), since)

    def on_connection_close(self) -> None:
        """Note that nobody listens any longer."""
        self._gone = True
        self.state.changed.notify_all()

    async def _stream(self, span: Span, since: int) -> None:
        await self._send(WatchResponse(created=True))
        while not self._is_over():
            newest = self.state.core.revision
            faults = self.state.faults
            if since <= newest and not faults.silent_watches:
                await self._send_changes(span, since)
                since = newest + 1
            else:
                await self._wait()

    async def _send_changes(self, span: Span, since: int) -> None:
        found = self.state.core.history.find(span, since)
        if found.is_error():
            await self._cancel(found.error)
            return
        for _, changes in groupby(found.ok, attrgetter('revision')):
            events = tuple(map(write_change, changes))
            # One line after another, so that a slow reader is not outrun.
            await self._send(WatchResponse(events=events))  # noqa: WPS476

    async def _cancel(self, refusal: Refusal) -> None:
        self._gone = True
        await self._send(
            WatchResponse(
                canceled=True,
                compact_revision=refusal.compacted,
                cancel_reason=refusal.message,
            ),
        )

    async def _wait(self) -> None:
        woken = await self.state.changed.wait(self._progress)
        if not woken and not self.state.faults.silent_watches:
            await self._send(WatchResponse())

    async def _send(self, response: WatchResponse) -> None:
        if self._is_over() and not response.canceled:
            return
        header = Header(revision=self.state.core.revision)
        line = WatchLine(outcome=replace(response, header=header))
        self.write(encode_message(line))
        self.write(NEWLINE)
        try:
            await self.flush()
        except StreamClosedError:
            self._gone = True

    def _is_over(self) -> bool:
        return self._gone or self.state.faults.outage is not Outage.NONE
