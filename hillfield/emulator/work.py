"""How an emulated target treats one request for work."""

import random
import time
from asyncio import Event, sleep
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from tornado.httputil import HTTPServerRequest

from hillfield.emulator.behaviour import Behaviour, show_now
from hillfield.emulator.payloads import (
    DEADLINE_HEADER,
    LENGTH_HEADER,
    REQUEST_HEADER,
    TOKEN_HEADER,
    fill_answer,
    read_token,
)
from hillfield.emulator.records import Run
from hillfield.emulator.slots import Slots
from hillfield.emulator.target_answers import (
    cut,
    send_answer,
    send_part,
    send_shed,
)
from hillfield.emulator.target_settings import TargetSettings, draw_seconds
from hillfield.model import TargetState

DEFAULT_LENGTH: Final = 1024
MILLISECONDS: Final = 1000


@dataclass(slots=True)
class Mood:
    """Hold the behaviour in force and when it was set."""

    behaviour: Behaviour
    since: float

    def show(self) -> Behaviour:
        """Return what holds right now."""
        return show_now(self.behaviour, time.monotonic() - self.since)


class Worker:
    """Run requests in slots and record those that began to run."""

    def __init__(
        self,
        settings: TargetSettings,
        mood: Mood,
        name: Callable[[], str],
    ) -> None:
        """Start idle; `name` gives the target's address once it listens."""
        self.runs: list[Run] = []
        self.slots = Slots(settings.slots, settings.queue)
        self._settings = settings
        self._mood = mood
        self._name = name
        self._source = random.Random(settings.seed)
        self._born = time.monotonic()

    async def serve(self, request: HTTPServerRequest) -> None:
        """Run the request, shed it or spoil it as the behaviour says."""
        arrived = time.monotonic()
        if _concerns(self._mood.show(), request) and self._mood.show().deaf:
            await Event().wait()
        if self._mood.behaviour.state is TargetState.SHEDDING:
            await send_shed(request)
        elif await self.slots.take(waits=not self._mood.show().refuse):
            async with _Held(self.slots):
                await self._run(request, arrived)
        else:
            await send_shed(request)

    async def _run(self, request: HTTPServerRequest, arrived: float) -> None:
        if time.monotonic() - arrived > _read_deadline(request):
            await send_shed(request)
            return
        now = time.monotonic()
        self.runs.append(
            Run(
                request.headers.get(REQUEST_HEADER, ''),
                self._settings.service,
                self._name(),
                now,
            ),
        )
        behaviour = self._mood.show()
        if self._happens(behaviour.stall):
            await Event().wait()
        drawn = draw_seconds(
            self._settings.timing,
            self._source,
            now - self._born,
        )
        await sleep(drawn * behaviour.slow)
        await self._answer(request, behaviour)

    async def _answer(
        self,
        request: HTTPServerRequest,
        behaviour: Behaviour,
    ) -> None:
        body = _make_body(request)
        if behaviour.mute and _concerns(behaviour, request):
            await Event().wait()
        elif self._happens(behaviour.wrong):
            await send_answer(request, b'wrong\n', behaviour.wrong_status)
        elif self._happens(behaviour.truncate):
            await send_part(request, body)
            cut(request)
        elif self._happens(behaviour.reset):
            await send_part(request, body)
            cut(request, reset=True)
        else:
            await send_answer(request, body)

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._source.random() < probability


class _Held:
    """Free the slot at the end, also after a cancellation."""

    def __init__(self, slots: Slots) -> None:
        self._slots = slots

    async def __aenter__(self) -> None:
        """Hold a slot that has been taken."""

    async def __aexit__(self, *_cause: object) -> None:
        """Free the slot."""
        self._slots.free()


def _concerns(behaviour: Behaviour, request: HTTPServerRequest) -> bool:
    via = request.headers.get('Via', '')
    return behaviour.only_for in f'{request.remote_ip} {via}'


def _read_deadline(request: HTTPServerRequest) -> float:
    given = request.headers.get(DEADLINE_HEADER, '')
    if not given.isdigit():
        return float('inf')
    return int(given) / MILLISECONDS


def _make_body(request: HTTPServerRequest) -> bytes:
    token = read_token(request.headers.get(TOKEN_HEADER, ''), request.body)
    length = request.headers.get(LENGTH_HEADER, '')
    return fill_answer(
        token,
        int(length) if length.isdigit() else DEFAULT_LENGTH,
    )
