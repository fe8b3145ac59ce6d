"""Find by hashes what two neighbours hold differently, and mend it."""

from collections.abc import Iterator
from typing import Final

from hillfield.configuration.entries import Entry
from hillfield.fleet.core import Core, Subject
from hillfield.fleet.handling import Source, react
from hillfield.fleet.heartbeats import take_confirmation
from hillfield.fleet.messages import (
    Entries,
    Hashes,
    Heartbeat,
    Statement,
    Statements,
    Version,
    Versions,
    Want,
)
from hillfield.fleet.pages import pages_of
from hillfield.fleet.peering.distance import is_dear
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.replication.entry_spreading import note_offers
from hillfield.fleet.replication.summary import BUCKETS

PATIENCE: Final = 2
# Over a dear link news comes late by its gathering and is told by others
# too: hashes that differ for 3 s are no mere delay.
DEAR_PATIENCE: Final = 6
REPAIR_AGAIN: Final = 3.0
JOIN_AGAIN: Final = 0.5
BUCKETS_AT_ONCE: Final = 16
# Seconds between two comparisons of statements with any neighbours. While
# nodes start, all neighbours differ from one another until the same news has
# come over every link: each comparison then fetches what is under way.
COMPARE_GAP: Final = 0.5
WANT_LIMIT: Final = 256


@react.register
def _(message: Heartbeat, core: Core, source: Source) -> None:
    link = source.link
    if link is None:
        return
    link.ready = message.ready
    take_confirmation(core, source.now, link, message)
    for subject, theirs in _subjects_of(message):
        if theirs == core.summary_of(subject).total:
            link.differences[subject] = 0
        else:
            link.differences[subject] += 1
            _compare(core, source.now, link, subject)
    if message.ready and not link.differences[Subject.ENTRIES]:
        link.synced = True


@react.register
def _(message: Hashes, core: Core, source: Source) -> None:
    if source.link is None or len(message.buckets) != BUCKETS:
        return
    summary = core.summary_of(message.subject)
    mine = summary.sums()
    first = int(source.now)
    turned = ((first + step) % BUCKETS for step in range(BUCKETS))
    differing = [
        bucket for bucket in turned if mine[bucket] != message.buckets[bucket]
    ]
    for bucket in differing[: message.limit]:
        core.outbox.send(
            source.link.address,
            Versions(message.subject, bucket, summary.versions(bucket)),
        )


@react.register
def _(message: Versions, core: Core, source: Source) -> None:
    link = source.link
    if link is None or not 0 <= message.bucket < BUCKETS:
        return
    theirs = {row.key: row for row in message.versions}
    summary = core.summary_of(message.subject)
    newer_here = tuple(
        mine
        for mine in summary.versions(message.bucket)
        if _is_newer(mine, theirs.get(mine.key))
    )
    if message.subject == Subject.ENTRIES:
        _offer_both_ways(core, source.now, link, newer_here, message.versions)
        return
    keys = tuple(mine.key for mine in newer_here[:WANT_LIMIT])
    _give(core, link, message.subject, keys)
    wanted = tuple(
        row.key
        for row in message.versions
        if core.book.is_newer(row.key, row.incarnation, row.version)
    )
    if wanted:
        core.outbox.send(
            link.address,
            Want(message.subject, wanted[:WANT_LIMIT]),
        )


@react.register
def _(message: Want, core: Core, source: Source) -> None:
    if source.link is not None:
        _give(core, source.link, message.subject, message.keys[:WANT_LIMIT])


def _compare(core: Core, now: float, link: Link, subject: Subject) -> None:
    joining = not core.own.ready
    wanted = DEAR_PATIENCE if is_dear(core, link) else PATIENCE
    patient = joining or link.differences[subject] >= wanted
    pause = JOIN_AGAIN if joining else REPAIR_AGAIN
    if not link.up or not patient or now - link.repaired < pause:
        return
    if subject == Subject.STATEMENTS:
        if now - core.clock.compared < COMPARE_GAP:
            return
        core.clock.compared = now
    link.differences[subject] = 1
    if subject == Subject.ENTRIES or not link.differences[Subject.ENTRIES]:
        link.repaired = now
    core.outbox.send(
        link.address,
        Hashes(
            subject,
            core.summary_of(subject).sums(),
            BUCKETS if joining else BUCKETS_AT_ONCE,
        ),
    )


def _offer_both_ways(
    core: Core,
    now: float,
    link: Link,
    ours: tuple[Version, ...],
    theirs: tuple[Version, ...],
) -> None:
    """Announce newer entries; who lacks them pulls at its own pace.

    Pushed, the whole configuration would come from each neighbour of a
    fresh node at once.
    """
    for mine in ours:
        core.outbox.announce(link.address, mine)
    note_offers(core, now, link, theirs)


def _is_newer(mine: Version, theirs: Version | None) -> bool:
    if theirs is None:
        return True
    return (mine.incarnation, mine.version) > (
        theirs.incarnation,
        theirs.version,
    )


def _give(
    core: Core,
    link: Link,
    subject: int,
    keys: tuple[str, ...],
) -> None:
    limit = core.settings.page_limit
    if subject == Subject.ENTRIES:
        for entries in pages_of(tuple(_entries(core, keys)), limit):
            core.outbox.send(link.address, Entries(entries))
        return
    for statements in pages_of(tuple(_statements(core, keys)), limit):
        core.outbox.send(link.address, Statements(statements))


def _entries(core: Core, keys: tuple[str, ...]) -> Iterator[Entry]:
    for key in keys:
        entry = core.ledger.entry(key)
        if entry is not None:
            yield entry


def _statements(core: Core, keys: tuple[str, ...]) -> Iterator[Statement]:
    for key in keys:
        statement = core.book.find(key)
        if statement is not None:
            yield statement


def _subjects_of(message: Heartbeat) -> tuple[tuple[Subject, int], ...]:
    """Return the hash of each subject."""
    return (
        (Subject.STATEMENTS, message.statements),
        (Subject.ENTRIES, message.entries),
    )
