"""Apply what the target says about itself in an answer."""

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
    """Apply a notice of the served incarnation; return whether it leaves.

    Notices of other incarnations are ignored.
    """
    seat = state.seat
    if seat is None or seat.target.id != attempt.target.id:
        return False
    if notice.unread:
        state.record(EventCode.TARGET_NOTICE_UNREAD, seat, notice.unread)
    before = state.limit.rate
    readable = not notice.vague
    if readable and state.limit.hear(now, attempt.started, notice.rate):
        _record_limit(state, seat, before)
    if notice.leaving:
        state.record(EventCode.TARGET_SAYS_LEAVING, seat, 'in an answer')
    return notice.leaving


def hear_told(state: GateState, now: float, notice: LifeNotice) -> bool:
    """Apply a notice that another node received; return whether it leaves."""
    seat = state.seat
    if seat is None or seat.life != notice.life:
        return False
    if notice.leaving:
        detail = 'another node was told'
        state.record(EventCode.TARGET_SAYS_LEAVING, seat, detail)
        return True
    before = state.limit.rate
    if notice.rate is not None and state.limit.adopt_told(now, notice.rate):
        _record_limit(state, seat, before)
    return False


def _record_limit(state: GateState, seat: Seat, before: float | None) -> None:
    before_text = '' if before is None else f'before: {show_rate(before)}'
    rate = state.limit.rate
    if rate is None:
        state.record(EventCode.TARGET_LIMIT_ENDED, seat, before_text)
        return
    limit_text = '; '.join(filter(None, (show_rate(rate), before_text)))
    state.record(EventCode.TARGET_LIMIT_NAMED, seat, limit_text)


def tell_kept(state: GateState, now: float) -> None:
    """Record periodically what the limit has let through and refused."""
    summary = state.limit.tell(now)
    if summary and state.seat is not None:
        state.record(EventCode.TARGET_LIMIT_KEPT, state.seat, summary)
