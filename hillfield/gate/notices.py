"""Apply what the target says about itself in an answer."""

from hillfield.events import EventCode
from hillfield.gate.limit import format_rate
from hillfield.gate.served import ServedIncarnation
from hillfield.gate.state import GateState
from hillfield.model import IncarnationNotice, TargetNotice
from hillfield.routing.records import AttemptRecord


def apply_notice(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    notice: TargetNotice,
) -> bool:
    """Apply a notice of the served incarnation; return whether it leaves.

    Notices of other incarnations are ignored.
    """
    serving = state.serving
    if serving is None or serving.target.id != attempt.target.id:
        return False
    if notice.unreadable:
        state.record_event(
            EventCode.TARGET_NOTICE_UNREAD,
            serving,
            notice.unreadable,
        )
    before = state.limit.rate
    readable = not notice.limit_unreadable
    if readable and state.limit.apply_notice(now, attempt.started, notice.rate):
        _record_limit(state, serving, before)
    if notice.leaving:
        state.record_event(
            EventCode.TARGET_SAYS_LEAVING,
            serving,
            'in an answer',
        )
    return notice.leaving


def apply_forwarded_notice(
    state: GateState,
    now: float,
    notice: IncarnationNotice,
) -> bool:
    """Apply a notice that another node received; return whether it leaves."""
    serving = state.serving
    if serving is None or serving.identifier != notice.incarnation:
        return False
    if notice.leaving:
        detail = 'another node was told'
        state.record_event(EventCode.TARGET_SAYS_LEAVING, serving, detail)
        return True
    before = state.limit.rate
    if notice.rate is not None and state.limit.adopt_forwarded(
        now,
        notice.rate,
    ):
        _record_limit(state, serving, before)
    return False


def _record_limit(
    state: GateState,
    serving: ServedIncarnation,
    before: float | None,
) -> None:
    before_text = '' if before is None else f'before: {format_rate(before)}'
    rate = state.limit.rate
    if rate is None:
        state.record_event(EventCode.TARGET_LIMIT_ENDED, serving, before_text)
        return
    limit_text = '; '.join(filter(None, (format_rate(rate), before_text)))
    state.record_event(EventCode.TARGET_LIMIT_NAMED, serving, limit_text)


def record_limit_counts(state: GateState, now: float) -> None:
    """Record periodically what the limit has let through and refused."""
    summary = state.limit.summarize(now)
    if summary and state.serving is not None:
        state.record_event(EventCode.TARGET_LIMIT_KEPT, state.serving, summary)
