"""Take events into the state, one function a kind of event."""

from functools import singledispatch
from math import inf
from typing import Final

from hillfield.events import EventCode
from hillfield.fleet import membership
from hillfield.fleet.core import Core
from hillfield.fleet.effects import Refused, StoreRead, Ticked
from hillfield.fleet.envelope import Received
from hillfield.fleet.handling import receive
from hillfield.fleet.heartbeats import confirm
from hillfield.fleet.peering import upkeep
from hillfield.fleet.readiness import judge_readiness
from hillfield.fleet.replication import anti_entropy, entry_spreading

REPORT_AGAIN: Final = 10.0
# Their import registers the reactions to their messages.
REACTIONS: Final = (anti_entropy, entry_spreading)


@singledispatch
def take_event(event: object, core: Core, now: float) -> None:
    """Take an event into the state."""
    raise TypeError(type(event).__name__)


@take_event.register
def _(event: Received, core: Core, now: float) -> None:
    receive(core, now, event)


@take_event.register
def _(event: Refused, core: Core, now: float) -> None:
    reason = event.reason.value
    core.count(reason)
    if now - core.reported.get(reason, -inf) >= REPORT_AGAIN:
        core.reported[reason] = now
        so_far = core.counts[reason]
        core.report(
            EventCode.MESSAGE_REFUSED,
            detail=f'{reason}: {so_far} so far',
        )


@take_event.register
def _(event: StoreRead, core: Core, now: float) -> None:
    if event.asked is None:
        core.own.in_vain = True
    else:
        confirm(core, now, event.asked)


@take_event.register
def _(event: Ticked, core: Core, now: float) -> None:
    core.clock.note_started(now)
    upkeep.note_pause(core, now)
    upkeep.note_silence(core, now)
    upkeep.choose_links(core, now)
    upkeep.beat(core, now)
    membership.expire_lost(core, now)
    core.findings.expire(now)
    judge_readiness(core, now)
