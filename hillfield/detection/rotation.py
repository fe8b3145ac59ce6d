"""Choose which targets receive work, never fewer than the floor allows."""

from typing import Final

from msgspec import Struct

from hillfield.model import Target, TargetId, TargetState

FULL_SHARE: Final = 1.0


class Candidate(Struct, frozen=True):
    """Offer a target; `share` (above 0, at most 1) weighs its new work.

    `watched`: it is suspected, so it gets its share however late it answers,
    until that convicts or clears it.
    """

    target: Target
    share: float
    watched: bool = False


class Rotation(Struct, frozen=True):
    """Hold the targets of a service that may receive work now.

    `floor_held` are the sick ones that only the floor keeps here. Both slot counts
    leave draining targets out; targets on trial do not count as kept.
    """

    candidates: tuple[Candidate, ...]
    floor_held: frozenset[TargetId]
    kept_slots: int
    announced_slots: int


class TargetStatus(Struct, frozen=True):
    """Judge one target for the rotation.

    `share` is 0 for a target taken out; `counts_as_kept` says whether its slots
    count as kept. Of the others the lowest `severity` is used first.
    """

    target: Target
    share: float
    counts_as_kept: bool
    severity: float = 0
    keeps_share: bool = False


def build_rotation(
    standings: tuple[TargetStatus, ...], floor: float
) -> Rotation:
    """Return the rotation that keeps `floor` of the announced slots.

    Equal standings give equal rotations, whatever their order.
    """
    announced = tuple(
        standing
        for standing in standings
        if standing.target.state is not TargetState.DRAINING
    )
    slots = sum(standing.target.slots for standing in announced)
    kept = sum(
        standing.target.slots
        for standing in announced
        if standing.counts_as_kept
    )
    held: set[TargetId] = set()
    for standing in sorted(announced, key=_order_by_severity):
        if kept >= floor * slots and (kept or not slots):
            break
        if not standing.counts_as_kept:
            held.add(standing.target.id)
            kept += standing.target.slots
    return Rotation(
        _offer(announced, held),
        frozenset(held),
        kept,
        slots,
    )


def _order_by_severity(standing: TargetStatus) -> tuple[float, TargetId]:
    return standing.severity, standing.target.id


def _offer(
    announced: tuple[TargetStatus, ...],
    held: set[TargetId],
) -> tuple[Candidate, ...]:
    offered = []
    for standing in announced:
        share = standing.share
        if standing.target.id in held:
            share = FULL_SHARE
        if share > 0:
            offered.append(
                Candidate(standing.target, share, standing.keeps_share),
            )
    offered.sort(key=_order_by_id)
    return tuple(offered)


def _order_by_id(candidate: Candidate) -> TargetId:
    return candidate.target.id
