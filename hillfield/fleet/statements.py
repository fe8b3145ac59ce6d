"""Take statements in, pass them on, and make this node's own."""

from typing import Final

from hillfield.events import EventCode
from hillfield.fleet.book import StatementBook, key_of
from hillfield.fleet.core import Core
from hillfield.fleet.messages import Statement
from hillfield.fleet.peering.distance import concerns, is_dear
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.records import Kind

STATEMENT_LIMIT: Final = 8192
HELD_BYTES_LIMIT: Final = 33554432
PAYLOAD_LIMIT: Final = 65536
NAME_LIMIT: Final = 256
# Far above any wall clock in milliseconds, far below what a message can hold.
NUMBER_LIMIT: Final = 4503599627370496
TAKEN_WINDOW: Final = 30.0
KINDS: Final = frozenset(kind.value for kind in Kind)


def take_in(
    core: Core,
    now: float,
    statement: Statement,
    source: Link | None,
) -> None:
    """Take a peer's statement and pass it on if it is new here."""
    flaw = find_flaw(core, statement)
    if flaw:
        core.count(flaw)
        return
    if statement.name == core.own.record.name:
        if statement.incarnation >= core.own.incarnation:
            _meet_namesake(core, now, statement)
            return
    if source is not None:
        core.outbox.leave_out(source.address, statement)
    if core.book.accept(statement):
        _spread(core, statement, source)
        _show(core, now, statement)


def find_flaw(core: Core, statement: Statement) -> str:
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
    known = core.book.find(key_of(statement.kind, statement.name))
    return '' if known or _has_room(core.book) else 'no-room'


def _has_room(book: StatementBook) -> bool:
    return len(book) < STATEMENT_LIMIT and book.held_bytes < HELD_BYTES_LIMIT


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
        if link.up and link is not source and concerns(core, link, statement):
            core.outbox.pass_on(
                link.address,
                statement,
                dear=is_dear(core, link),
            )


def _show(core: Core, now: float, statement: Statement) -> None:
    name = statement.name
    own = name == core.own.record.name
    if name not in core.book.alive and not own:
        core.lost.setdefault(name, now)
    if statement.kind == Kind.EVIDENCE:
        core.findings.note(now, name)
    if statement.kind == Kind.TARGETS:
        if own or name in core.book.alive or core.view.shows(name):
            core.view.show(name)


def _meet_namesake(core: Core, now: float, statement: Statement) -> None:
    """Get above what the fleet remembers of this node's name.

    Once is a clock that was set back; again and again is another process
    with the same name, and raising further would only feed the quarrel.
    """
    own = core.book.find(key_of(statement.kind, statement.name))
    if statement == own:
        return
    mine = (core.own.incarnation, core.own.versions.get(statement.kind, 0))
    if (statement.incarnation, statement.version) < mine:
        return
    if now - core.own.taken < TAKEN_WINDOW:
        core.count('name-taken')
        if core.counts['name-taken'] == 1:
            core.report(EventCode.NAME_TAKEN, peer=statement.name)
        return
    core.own.taken = now
    core.own.incarnation = statement.incarnation + 1
    core.report(EventCode.INCARNATION_RAISED, peer=statement.name)
    for kind in core.own.versions:
        held = core.book.get(kind, statement.name)
        if held is not None:
            publish(core, now, Kind(kind), held.payload)
