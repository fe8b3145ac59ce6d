"""Take statements in, pass them on, and make this node's own."""

from typing import Final

from hillfield.events import EventCode
from hillfield.fleet.state_table import StateTable, make_update_key
from hillfield.fleet.core import Core
from hillfield.fleet.messages import Statement
from hillfield.fleet.peering.cross_domain import is_update_sent, is_cross_domain
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.records import Kind

UPDATE_LIMIT: Final = 8192
HELD_BYTES_LIMIT: Final = 33554432
PAYLOAD_LIMIT: Final = 65536
NAME_LIMIT: Final = 256
# Far above any wall clock in milliseconds, far below what a message can hold.
NUMBER_LIMIT: Final = 4503599627370496
NAME_CONFLICT_WINDOW: Final = 30.0
KINDS: Final = frozenset(kind.value for kind in Kind)


def receive_update(
    core: Core,
    now: float,
    statement: Statement,
    source: Link | None,
) -> None:
    """Take a peer's statement and pass it on if it is new here."""
    flaw = find_update_problem(core, statement)
    if flaw:
        core.count(flaw)
        return
    if statement.name == core.own.record.name:
        if statement.incarnation >= core.own.incarnation:
            _meet_namesake(core, now, statement)
            return
    if source is not None:
        core.outbox.drop_known(source.address, statement)
    if core.book.accept(statement):
        _spread(core, statement, source)
        _show(core, now, statement)


def find_update_problem(core: Core, statement: Statement) -> str:
    """Return why a statement isn't taken; empty: it may be.

    A kind that isn't known here would never be forgotten. A number near the
    end of its range could never be replaced by its node. When all room is
    taken, nodes that are known still have theirs replaced.
    """
    if statement.kind not in KINDS:
        return 'unknown-kind'
    numbers = (statement.incarnation, statement.version)
    if min(numbers) < 0 or max(numbers) > NUMBER_LIMIT:
        return 'absurd-version'
    long = len(statement.name) > NAME_LIMIT
    if long or len(statement.payload) > PAYLOAD_LIMIT:
        return 'oversized-statement'
    known = core.book.get_by_key(
        make_update_key(statement.kind, statement.name)
    )
    return '' if known or _has_room(core.book) else 'no-room'


def _has_room(book: StateTable) -> bool:
    return len(book) < UPDATE_LIMIT and book.held_bytes < HELD_BYTES_LIMIT


def publish(core: Core, now: float, kind: Kind, payload: bytes) -> None:
    """Make a statement of this node's own."""
    version = core.own.versions.get(kind, 0) + 1
    core.own.versions[kind] = version
    statement = Statement(
        kind=kind,
        name=core.own.record.name,
        incarnation=core.own.incarnation,
        version=version,
        payload=payload,
    )
    core.book.accept(statement)
    _spread(core, statement, None)
    _show(core, now, statement)


def _spread(core: Core, statement: Statement, source: Link | None) -> None:
    for link in core.links:
        if (
            link.up
            and link is not source
            and is_update_sent(core, link, statement)
        ):
            core.outbox.queue_update(
                link.address,
                statement,
                dear=is_cross_domain(core, link),
            )


def _show(core: Core, now: float, statement: Statement) -> None:
    name = statement.name
    own = name == core.own.record.name
    if name not in core.book.alive and not own:
        core.lost_since.setdefault(name, now)
    if statement.kind == Kind.EVIDENCE:
        core.findings.record_update(now, name)
    if statement.kind == Kind.TARGETS:
        if own or name in core.book.alive or core.view.lists_node(name):
            core.view.update_node(name)


def _meet_namesake(core: Core, now: float, statement: Statement) -> None:
    """Get above what the fleet remembers of this node's name.

    Once is a clock that was set back; again and again is another process
    with the same name, and raising further would only feed the quarrel.
    """
    own = core.book.get_by_key(make_update_key(statement.kind, statement.name))
    if statement == own:
        return
    mine = (core.own.incarnation, core.own.versions.get(statement.kind, 0))
    if (statement.incarnation, statement.version) < mine:
        return
    if now - core.own.name_conflict < NAME_CONFLICT_WINDOW:
        core.count('name-taken')
        if core.counts['name-taken'] == 1:
            core.report(EventCode.NAME_TAKEN, peer=statement.name)
        return
    core.own.name_conflict = now
    core.own.incarnation = statement.incarnation + 1
    core.report(EventCode.INCARNATION_RAISED, peer=statement.name)
    for kind in core.own.versions:
        held = core.book.get(kind, statement.name)
        if held is not None:
            publish(core, now, Kind(kind), held.payload)
