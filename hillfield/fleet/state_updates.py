"""Receive, forward and publish state updates."""

from typing import Final

from hillfield.events import EventCode
from hillfield.fleet.core import Core
from hillfield.fleet.messages import StateUpdate
from hillfield.fleet.peering.cross_domain import is_cross_domain, is_update_sent
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.records import UpdateKind
from hillfield.fleet.state_table import StateTable, make_update_key

# Bounds of what is held of all nodes together, and of one update.
UPDATE_LIMIT: Final = 8192
HELD_BYTES_LIMIT: Final = 33554432
PAYLOAD_LIMIT: Final = 65536
NAME_LIMIT: Final = 256
# Highest incarnation or version: far above any wall clock in milliseconds, far
# below the largest integer of a message.
NUMBER_LIMIT: Final = 4503599627370496
# Seconds within which a second conflict over this node's name is another
# process with the same name, not a clock that was set back.
NAME_CONFLICT_WINDOW: Final = 30.0
KINDS: Final = frozenset(kind.value for kind in UpdateKind)


def receive_update(
    core: Core,
    now: float,
    update: StateUpdate,
    source: Link | None,
) -> None:
    """Accept a peer's update and forward it if it is newer than the held one."""
    problem = find_update_problem(core, update)
    if problem:
        core.count(problem)
        return
    if update.name == core.own.record.name:
        if update.incarnation >= core.own.incarnation:
            _resolve_name_conflict(core, now, update)
            return
    if source is not None:
        core.outbox.drop_known(source.address, update)
    if core.state_table.accept(update):
        _forward(core, update, source)
        _apply(core, now, update)


def find_update_problem(core: Core, update: StateUpdate) -> str:
    """Return why an update is refused; empty if it is acceptable.

    Updates of an unknown kind would never be forgotten. A version near the
    end of its range could not be exceeded by its node. When the limits are
    reached, updates that replace a held one are still accepted.
    """
    if update.kind not in KINDS:
        return 'unknown-kind'
    numbers = (update.incarnation, update.version)
    if min(numbers) < 0 or max(numbers) > NUMBER_LIMIT:
        return 'absurd-version'
    long = len(update.name) > NAME_LIMIT
    if long or len(update.payload) > PAYLOAD_LIMIT:
        return 'oversized-statement'
    known = core.state_table.get_by_key(
        make_update_key(update.kind, update.name)
    )
    return '' if known or _is_within_limits(core.state_table) else 'no-room'


def _is_within_limits(table: StateTable) -> bool:
    return len(table) < UPDATE_LIMIT and table.held_bytes < HELD_BYTES_LIMIT


def publish(core: Core, now: float, kind: UpdateKind, payload: bytes) -> None:
    """Publish an update of this node's own state."""
    version = core.own.versions.get(kind, 0) + 1
    core.own.versions[kind] = version
    update = StateUpdate(
        kind=kind,
        name=core.own.record.name,
        incarnation=core.own.incarnation,
        version=version,
        payload=payload,
    )
    core.state_table.accept(update)
    _forward(core, update, None)
    _apply(core, now, update)


def _forward(core: Core, update: StateUpdate, source: Link | None) -> None:
    for link in core.links:
        if (
            link.up
            and link is not source
            and is_update_sent(core, link, update)
        ):
            core.outbox.queue_update(
                link.address,
                update,
                cross_domain=is_cross_domain(core, link),
            )


def _apply(core: Core, now: float, update: StateUpdate) -> None:
    name = update.name
    own = name == core.own.record.name
    if name not in core.state_table.alive and not own:
        core.lost_since.setdefault(name, now)
    if update.kind == UpdateKind.EVIDENCE:
        core.evidence_view.record_update(now, name)
    if update.kind == UpdateKind.TARGETS:
        if own or name in core.state_table.alive or core.view.lists_node(name):
            core.view.update_node(name)


def _resolve_name_conflict(core: Core, now: float, update: StateUpdate) -> None:
    """Raise this node's incarnation above one that the fleet holds.

    A single conflict means that the clock was set back. Repeated conflicts
    mean that another process uses the same name; both would then raise their
    incarnations without end.
    """
    own = core.state_table.get_by_key(make_update_key(update.kind, update.name))
    if update == own:
        return
    mine = (core.own.incarnation, core.own.versions.get(update.kind, 0))
    if (update.incarnation, update.version) < mine:
        return
    if now - core.own.name_conflict < NAME_CONFLICT_WINDOW:
        core.count('name-taken')
        if core.counts['name-taken'] == 1:
            core.report(EventCode.NAME_TAKEN, peer=update.name)
        return
    core.own.name_conflict = now
    core.own.incarnation = update.incarnation + 1
    core.report(EventCode.INCARNATION_RAISED, peer=update.name)
    for kind in core.own.versions:
        held = core.state_table.get(kind, update.name)
        if held is not None:
            publish(core, now, UpdateKind(kind), held.payload)
