"""An emulated target: an HTTP server that can be made sick."""

import time
from asyncio import Task, create_task, gather, sleep
from typing import Final

from msgspec.structs import replace
from tornado.httputil import HTTPServerRequest

from hillfield.emulator.behaviour import Behaviour
from hillfield.emulator.heartbeat import Announcement, Heartbeat
from hillfield.emulator.listener import Listener
from hillfield.emulator.records import Leaving, TargetRecord
from hillfield.emulator.target_pages import is_page, show_page
from hillfield.emulator.target_settings import TargetSettings
from hillfield.emulator.work import Mood, Worker
from hillfield.model import Address, TargetState

IDLE_POLL: Final = 0.05
NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


class EmulatedTarget:
    """Serve one service, announce it, record what ran."""

    def __init__(self, settings: TargetSettings) -> None:
        """Prepare; nothing listens before `start`."""
        self.settings = settings
        self.mood = Mood(settings.behaviour, time.monotonic())
        self.listener = Listener(settings.listen, self._serve)
        self.worker = Worker(settings, self.mood, self.listener.name)
        self.incarnation = settings.incarnation or (
            time.time_ns() // NANOSECONDS_PER_MILLISECOND
        )
        self._leavings: list[Leaving] = []
        self._heartbeat: Heartbeat | None = None
        self._beating: Task[None] | None = None

    @property
    def address(self) -> Address:
        """Return where it listens."""
        return self.listener.address

    @property
    def is_running(self) -> bool:
        """Tell whether it was started and not stopped."""
        return self._beating is not None

    async def start(self) -> None:
        """Listen, then announce the target."""
        self.listener.open()
        if self.settings.control:
            self._heartbeat = Heartbeat(self.settings.control)
        self._beating = create_task(self._beat())

    async def behave(self, behaviour: Behaviour) -> None:
        """Change the behaviour at once and announce it."""
        if behaviour.state is TargetState.DRAINING:
            self._leavings.append(
                Leaving(self.listener.name(), time.monotonic())
            )
        self.mood.behaviour = behaviour
        self.mood.since = time.monotonic()
        await self._follow_refusal()
        await self._announce()

    def record(self) -> TargetRecord:
        """Return what ran here so far."""
        return TargetRecord(
            self.listener.name(),
            tuple(self.worker.runs),
            tuple(self._leavings),
        )

    async def drain(self, grace: float) -> None:
        """Announce leaving, finish what comes for `grace` seconds, stop."""
        await self.behave(
            replace(self.mood.behaviour, state=TargetState.DRAINING),
        )
        await sleep(grace)
        while self.listener.busy:
            await sleep(IDLE_POLL)
        if self._heartbeat:
            await self._heartbeat.withdraw(_describe(self))
        await self.stop()

    async def stop(self) -> None:
        """End at once, as a crash does: nothing is announced."""
        if self._beating:
            self._beating.cancel()
            await gather(self._beating, return_exceptions=True)
            self._beating = None
        if self._heartbeat:
            self._heartbeat.close()
            self._heartbeat = None
        await self.listener.close()

    async def _serve(self, request: HTTPServerRequest) -> None:
        if is_page(request):
            await show_page(self, request)
        else:
            await self.worker.serve(request)

    async def _follow_refusal(self) -> None:
        if self.mood.show().refuse:
            # What has not begun will not, and can still be told so.
            self.worker.slots.dismiss()
            await self.listener.refuse()
        else:
            self.listener.open()

    async def _beat(self) -> None:
        while True:
            await self._follow_refusal()
            await self._announce()
            await sleep(self.settings.heartbeat)

    async def _announce(self) -> None:
        if self._heartbeat and not self.mood.behaviour.silent:
            await self._heartbeat.announce(_describe(self))


def _describe(target: EmulatedTarget) -> Announcement:
    claimed = target.mood.behaviour.load
    return Announcement(
        service=target.settings.service,
        address=target.listener.name(),
        incarnation=target.incarnation,
        slots=target.settings.slots,
        connection_limit=target.settings.connection_limit,
        weight=target.settings.weight,
        state=target.mood.behaviour.state,
        load=target.worker.slots.load if claimed is None else claimed,
    )
