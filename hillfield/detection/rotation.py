"""Choose which targets receive work, never fewer than the floor allows."""

from typing import Final

from msgspec import Struct

from hillfield.model import Target, TargetId, TargetState

FULL_SHARE: Final = 1.0


class Candidate(Struct, frozen=True):
    """Offer a target for new work in proportion to its share.

    `share` is above 0 and at most 1; `keeps_share` says that the target is
    suspected and gets its share however late it answers, so that there is
    evidence to eject or clear it.
    """

    target: Target
    share: float
    keeps_share: bool = False


class Rotation(Struct, frozen=True):
    """Hold the targets of a service that may receive work now.

    `floor_held` are the unhealthy ones that only the floor keeps here. Both
    slot counts leave out draining targets; targets on trial do not count as
    kept.
    """

    candidates: tuple[Candidate, ...]
    floor_held: frozenset[TargetId]
    kept_slots: int
    announced_slots: int


class TargetStatus(Struct, frozen=True):
    """Describe one target for building the rotation.

    `share` is 0 for a target out of rotation; `counts_as_kept` says whether
    its slots count towards the floor. Of the others, those with the lowest
    `severity` are used first to reach it.
    """

    target: Target
    share: float
    counts_as_kept: bool
    severity: float = 0
    keeps_share: bool = False


def build_rotation(
    statuses: tuple[TargetStatus, ...], floor: float
) -> Rotation:
    """Return the rotation that keeps `floor` of the announced slots.

    Equal statuses give equal rotations, whatever their order.
    """
    announced = tuple(
        status
        for status in statuses
        if status.target.state is not TargetState.DRAINING
    )
    slots = sum(status.target.slots for status in announced)
    kept = sum(
        status.target.slots for status in announced if status.counts_as_kept
    )
    floor_held: set[TargetId] = set()
    for status in sorted(announced, key=_order_by_severity):
        if kept >= floor * slots and (kept or not slots):
            break
        if not status.counts_as_kept:
            floor_held.add(status.target.id)
            kept += status.target.slots
    return Rotation(
        _list_candidates(announced, floor_held),
        frozenset(floor_held),
        kept,
        slots,
    )


def _order_by_severity(status: TargetStatus) -> tuple[float, TargetId]:
    return status.severity, status.target.id


def _list_candidates(
    announced: tuple[TargetStatus, ...],
    floor_held: set[TargetId],
) -> tuple[Candidate, ...]:
    candidates = []
    for status in announced:
        share = status.share
        if status.target.id in floor_held:
            share = FULL_SHARE
        if share > 0:
            candidates.append(
                Candidate(status.target, share, status.keeps_share),
            )
    candidates.sort(key=_order_by_id)
    return tuple(candidates)


def _order_by_id(candidate: Candidate) -> TargetId:
    return candidate.target.id
