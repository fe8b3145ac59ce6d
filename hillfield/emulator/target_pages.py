"""Pages of an emulated target beside its work: health and remote control."""

from typing import TYPE_CHECKING, Final

import msgspec
from tornado.httputil import HTTPServerRequest

from hillfield.emulator.behaviour import is_sick, parse_behaviour
from hillfield.emulator.target_answers import send_answer

if TYPE_CHECKING:
    from hillfield.emulator.target import EmulatedTarget

HEALTH: Final = '/health'
BEHAVIOUR: Final = '/behaviour'
RAN: Final = '/ran'
PAGES: Final = frozenset((HEALTH, BEHAVIOUR, RAN))
UNAVAILABLE: Final = 503
BAD_REQUEST: Final = 400


def is_page(request: HTTPServerRequest) -> bool:
    """Tell whether the request is for a page, not for work."""
    return request.path in PAGES


async def show_page(
    target: 'EmulatedTarget',
    request: HTTPServerRequest,
) -> None:
    """Answer a request for a page."""
    if request.path == HEALTH:
        await _show_health(target, request)
    elif request.path == RAN:
        await send_answer(request, msgspec.json.encode(target.record()))
    elif request.method == 'POST':
        await _change_behaviour(target, request)
    else:
        shown = msgspec.json.encode(target.mood.show())
        await send_answer(request, shown)


async def _show_health(
    target: 'EmulatedTarget',
    request: HTTPServerRequest,
) -> None:
    behaviour = target.mood.show()
    healthy = behaviour.healthy
    if healthy is None:
        healthy = not is_sick(behaviour)
    if healthy:
        await send_answer(request, b'healthy\n')
    else:
        await send_answer(request, b'sick\n', UNAVAILABLE)


async def _change_behaviour(
    target: 'EmulatedTarget',
    request: HTTPServerRequest,
) -> None:
    parsed = parse_behaviour(request.body)
    if parsed.is_error():
        await send_answer(request, parsed.error.encode(), BAD_REQUEST)
        return
    await send_answer(request, b'changed\n')
    await target.behave(parsed.ok)
