"""Apply events to the state, one function per kind of event."""

from functools import singledispatch
from math import inf
from typing import Final

from hillfield.events import EventCode
from hillfield.fleet import membership
from hillfield.fleet.core import Core
from hillfield.fleet.effects import Refused, StoreRead, Ticked
from hillfield.fleet.envelope import Received
from hillfield.fleet.heartbeats import confirm_entries
from hillfield.fleet.message_handlers import receive_message
from hillfield.fleet.peering import link_maintenance
from hillfield.fleet.readiness import update_readiness
from hillfield.fleet.replication import anti_entropy, entry_dissemination

# Seconds between two reports of refused messages with one reason.
REFUSAL_REPORT_INTERVAL: Final = 10.0
# Importing these modules registers the handlers of their messages.
HANDLER_MODULES: Final = (anti_entropy, entry_dissemination)


@singledispatch
def apply_event(event: object, core: Core, now: float) -> None:
    """Apply an event to the state."""
    raise TypeError(type(event).__name__)


@apply_event.register
def _(event: Received, core: Core, now: float) -> None:
    receive_message(core, now, event)


@apply_event.register
def _(event: Refused, core: Core, now: float) -> None:
    reason = event.reason.value
    core.count(reason)
    if (
        now - core.refusals_reported.get(reason, -inf)
        >= REFUSAL_REPORT_INTERVAL
    ):
        core.refusals_reported[reason] = now
        so_far = core.counts[reason]
        core.report(
            EventCode.MESSAGE_REFUSED,
            detail=f'{reason}: {so_far} so far',
        )


@apply_event.register
def _(event: StoreRead, core: Core, now: float) -> None:
    if event.requested is None:
        core.own.read_failed = True
    else:
        confirm_entries(core, now, event.requested)


@apply_event.register
def _(event: Ticked, core: Core, now: float) -> None:
    core.times.record_start(now)
    link_maintenance.handle_pause(core, now)
    link_maintenance.check_silence(core, now)
    link_maintenance.maintain_links(core, now)
    link_maintenance.send_due_heartbeats(core, now)
    membership.expire_lost(core, now)
    core.evidence_view.expire(now)
    update_readiness(core, now)
