"""Anti-entropy: find differences between neighbours by hashes and repair them."""

from collections.abc import Iterator
from typing import Final

from hillfield.configuration.entries import Entry
from hillfield.fleet.core import Core, Subject
from hillfield.fleet.heartbeats import receive_confirmation
from hillfield.fleet.message_handlers import MessageSource, handle_message
from hillfield.fleet.messages import (
    Entries,
    Hashes,
    Heartbeat,
    StateUpdate,
    StateUpdates,
    Version,
    Versions,
    Want,
)
from hillfield.fleet.pages import split_into_pages
from hillfield.fleet.peering.cross_domain import is_cross_domain
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.replication.entry_dissemination import record_offers
from hillfield.fleet.replication.summary import BUCKETS

# Heartbeats in a row with another hash after which buckets are compared.
MISMATCHES_TOLERATED: Final = 2
# The same for a cross-domain link. Updates are batched there, arrive later and
# come over other links too: a mismatch for 3 s is more than this delay.
CROSS_DOMAIN_MISMATCHES: Final = 6
COMPARE_INTERVAL: Final = 3.0
JOIN_COMPARE_INTERVAL: Final = 0.5
# Differing buckets that a ready node requests in one comparison.
BUCKETS_PER_COMPARISON: Final = 16
# Seconds between two comparisons of state updates with any neighbours. While
# nodes start, all neighbours differ until the same updates have come over
# every link, and each comparison would fetch updates that are already on
# their way.
STATE_COMPARE_GAP: Final = 0.5
WANT_LIMIT: Final = 256


@handle_message.register
def _(message: Heartbeat, core: Core, source: MessageSource) -> None:
    link = source.link
    if link is None:
        return
    link.ready = message.ready
    receive_confirmation(core, source.now, link, message)
    for subject, theirs in _subjects_of(message):
        if theirs == core.get_summary(subject).total:
            link.mismatches[subject] = 0
        else:
            link.mismatches[subject] += 1
            _compare(core, source.now, link, subject)
    if message.ready and not link.mismatches[Subject.ENTRIES]:
        link.synced = True


@handle_message.register
def _(message: Hashes, core: Core, source: MessageSource) -> None:
    if source.link is None or len(message.buckets) != BUCKETS:
        return
    summary = core.get_summary(message.subject)
    mine = summary.sums()
    first = int(source.now)
    rotated = ((first + step) % BUCKETS for step in range(BUCKETS))
    differing = [
        bucket for bucket in rotated if mine[bucket] != message.buckets[bucket]
    ]
    for bucket in differing[: message.limit]:
        core.outbox.send(
            source.link.address,
            Versions(message.subject, bucket, summary.versions(bucket)),
        )


@handle_message.register
def _(message: Versions, core: Core, source: MessageSource) -> None:
    link = source.link
    if link is None or not 0 <= message.bucket < BUCKETS:
        return
    theirs = {row.key: row for row in message.versions}
    summary = core.get_summary(message.subject)
    newer_here = tuple(
        mine
        for mine in summary.versions(message.bucket)
        if _is_newer(mine, theirs.get(mine.key))
    )
    if message.subject == Subject.ENTRIES:
        _exchange_offers(core, source.now, link, newer_here, message.versions)
        return
    keys = tuple(mine.key for mine in newer_here[:WANT_LIMIT])
    _send_values(core, link, message.subject, keys)
    wanted = tuple(
        row.key
        for row in message.versions
        if core.state_table.is_newer(row.key, row.incarnation, row.version)
    )
    if wanted:
        core.outbox.send(
            link.address,
            Want(message.subject, wanted[:WANT_LIMIT]),
        )


@handle_message.register
def _(message: Want, core: Core, source: MessageSource) -> None:
    if source.link is not None:
        _send_values(
            core, source.link, message.subject, message.keys[:WANT_LIMIT]
        )


def _compare(core: Core, now: float, link: Link, subject: Subject) -> None:
    joining = not core.own.ready
    tolerated = (
        CROSS_DOMAIN_MISMATCHES
        if is_cross_domain(core, link)
        else MISMATCHES_TOLERATED
    )
    is_persistent = joining or link.mismatches[subject] >= tolerated
    pause = JOIN_COMPARE_INTERVAL if joining else COMPARE_INTERVAL
    if not link.up or not is_persistent or now - link.hashes_sent < pause:
        return
    if subject == Subject.STATE_UPDATES:
        if now - core.times.states_compared < STATE_COMPARE_GAP:
            return
        core.times.states_compared = now
    link.mismatches[subject] = 1
    if subject == Subject.ENTRIES or not link.mismatches[Subject.ENTRIES]:
        link.hashes_sent = now
    core.outbox.send(
        link.address,
        Hashes(
            subject,
            core.get_summary(subject).sums(),
            BUCKETS if joining else BUCKETS_PER_COMPARISON,
        ),
    )


def _exchange_offers(
    core: Core,
    now: float,
    link: Link,
    ours: tuple[Version, ...],
    theirs: tuple[Version, ...],
) -> None:
    """Announce newer entries and record the neighbour's; pulls fetch them.

    If entries were pushed, a started node would receive the complete
    configuration from each neighbour at once.
    """
    for mine in ours:
        core.outbox.queue_offer(link.address, mine)
    record_offers(core, now, link, theirs)


def _is_newer(mine: Version, theirs: Version | None) -> bool:
    if theirs is None:
        return True
    return (mine.incarnation, mine.version) > (
        theirs.incarnation,
        theirs.version,
    )


def _send_values(
    core: Core,
    link: Link,
    subject: int,
    keys: tuple[str, ...],
) -> None:
    limit = core.settings.page_limit
    if subject == Subject.ENTRIES:
        for entries in split_into_pages(tuple(_entries(core, keys)), limit):
            core.outbox.send(link.address, Entries(entries))
        return
    for updates in split_into_pages(tuple(_list_updates(core, keys)), limit):
        core.outbox.send(link.address, StateUpdates(updates))


def _entries(core: Core, keys: tuple[str, ...]) -> Iterator[Entry]:
    for key in keys:
        entry = core.entry_index.entry(key)
        if entry is not None:
            yield entry


def _list_updates(core: Core, keys: tuple[str, ...]) -> Iterator[StateUpdate]:
    for key in keys:
        update = core.state_table.get_by_key(key)
        if update is not None:
            yield update


def _subjects_of(message: Heartbeat) -> tuple[tuple[Subject, int], ...]:
    """Return the hash of each subject."""
    return (
        (Subject.STATE_UPDATES, message.state_hash),
        (Subject.ENTRIES, message.entries_hash),
    )
