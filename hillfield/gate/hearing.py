"""What the gate makes of what its target says of itself in an answer."""

from hillfield.events import EventCode
from hillfield.gate.limit import show_rate
from hillfield.gate.seat import Seat
from hillfield.gate.state import GateState
from hillfield.model import LifeNotice, TargetNotice
from hillfield.routing.records import AttemptRecord


def hear(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    notice: TargetNotice,
) -> bool:
    """Take the word of the life that is served; tell if it leaves.

    What another life says does not count.
    """
    seat = state.seat
    if seat is None or seat.target.id != attempt.target.id:
        return False
    if notice.unread:
        state.record(EventCode.TARGET_NOTICE_UNREAD, seat, notice.unread)
    before = state.limit.rate
    heard = not notice.vague
    if heard and state.limit.hear(now, attempt.started, notice.rate):
        _record_limit(state, seat, before)
    if notice.leaving:
        state.record(EventCode.TARGET_SAYS_LEAVING, seat, 'in an answer')
    return notice.leaving


def hear_told(state: GateState, now: float, told: LifeNotice) -> bool:
    """Take what another node was told of this life; tell if it leaves."""
    seat = state.seat
    if seat is None or seat.life != told.life:
        return False
    if told.leaving:
        detail = 'another node was told'
        state.record(EventCode.TARGET_SAYS_LEAVING, seat, detail)
        return True
    before = state.limit.rate
    if told.rate is not None and state.limit.adopt_told(now, told.rate):
        _record_limit(state, seat, before)
    return False


def _record_limit(state: GateState, seat: Seat, before: float | None) -> None:
    was = '' if before is None else f'before: {show_rate(before)}'
    rate = state.limit.rate
    if rate is None:
        state.record(EventCode.TARGET_LIMIT_ENDED, seat, was)
        return
    told = '; '.join(filter(None, (show_rate(rate), was)))
    state.record(EventCode.TARGET_LIMIT_NAMED, seat, told)


def tell_kept(state: GateState, now: float) -> None:
    """Tell now and then what has become of requests by the limit."""
    told = state.limit.tell(now)
    if told and state.seat is not None:
        state.record(EventCode.TARGET_LIMIT_KEPT, state.seat, told)
