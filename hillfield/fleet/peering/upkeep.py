"""Keep a node's few links: open, beat, notice silence, close."""

from typing import Final

from msgspec.structs import replace

from hillfield.clocks import TOLERATED
from hillfield.events import EventCode
from hillfield.fleet.core import Core
from hillfield.fleet.heartbeats import (
    find_age,
    hello_of,
    send_heartbeats,
)
from hillfield.fleet.messages import Goodbye
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.peering.selection import Circle, choose
from hillfield.fleet.reading import FRESH
from hillfield.fleet.records import NodeRecord
from hillfield.model import Address

# Seconds between two looks from which a node tells its neighbours that it is
# back: they may have lost it.
PAUSE_NOTICED: Final = 1.5
CHOOSE_AGAIN: Final = 1.0
SEEK_AGAIN: Final = 5.0
SURPLUS_AFTER: Final = 30.0
BAN: Final = 15.0
# Seconds from when the store is to be read again until the first follower has
# looked and read, and the news has come.
READING_TAKES: Final = 0.15


def note_pause(core: Core, now: float) -> None:
    """Forgive the neighbours the silence of our own pause, and ask anew.

    What they said in it lies unread, also where it was a short one. Only the
    end that dialled a link asks: one that is accepted at both ends would be
    nobody's to close.
    """
    gap = now - core.clock.ticked
    core.clock.ticked = now
    late = gap - core.settings.tick
    if not TOLERATED < late < float('inf'):
        return
    for link in core.links:
        link.excuse(now, late)
    if gap < PAUSE_NOTICED:
        return
    core.report(EventCode.PAUSE_NOTICED, detail=f'{gap:.1f} s')
    for link in core.links:
        core.outbox.send(link.address, hello_of(core, asks=link.dialled))


def beat(core: Core, now: float) -> None:
    """Send heartbeats if it is time to, and a reading will not do it soon."""
    if now - core.clock.beat < core.settings.heartbeat:
        return
    if find_age(core, now) >= FRESH + READING_TAKES:
        send_heartbeats(core, now)


def note_silence(core: Core, now: float) -> None:
    """Stop hearing silent peers, later give up their links."""
    settings = core.settings
    for link in core.links:
        silence = now - link.last_sign
        if link.up and silence >= settings.suspect_after:
            link.up = False
            link.streak = 0
            core.report(EventCode.NEIGHBOUR_SILENT, peer=link.name)
        limit = settings.link_dead_after
        if not link.name:
            limit = settings.suspect_after
        if silence >= limit:
            core.banned[link.address] = now + BAN
            close(core, link)


def close(core: Core, link: Link) -> None:
    """Give up a link."""
    core.outbox.send(link.address, Goodbye('closed'))
    core.links.close(link)
    core.outbox.hang_up(link.address)


def note_heard(core: Core) -> None:
    """Put into this node's record whom it hears."""
    names = sorted(link.name for link in core.heard_links())
    if tuple(names) != core.own.record.hears:
        core.own.record = replace(core.own.record, hears=tuple(names))


def choose_links(core: Core, now: float) -> None:
    """Open the links that the membership calls for."""
    if now - core.clock.chosen < CHOOSE_AGAIN:
        return
    core.clock.chosen = now
    _seek(core, now)
    banned = {peer for peer, until in core.banned.items() if until > now}
    core.banned = {peer: core.banned[peer] for peer in banned}
    others = tuple(
        record
        for name, record in core.book.records.items()
        if name in core.book.alive
        and name != core.own.record.name
        and record.link not in banned
        and may_link(core, record)
    )
    wanted = {
        chosen.link
        for chosen in choose(
            Circle(core.own.record, others, core.settings.dialled_links),
        )
    }
    for link in sorted(wanted):
        dial(core, now, link)
    _close_surplus(core, now, wanted)


def dial(core: Core, now: float, address: Address) -> None:
    """Open a link to an address, unless there is one."""
    if core.links.at(address) is not None or address == core.settings.link:
        return
    core.links.open(Link(address, dialled=True, opened=now))
    core.outbox.dial(address)
    core.outbox.send(address, hello_of(core, asks=True))


def may_link(core: Core, record: NodeRecord) -> bool:
    """Tell whether this node links to another one of its own accord."""
    if not core.settings.sparse or core.own.record.relay_of:
        return True
    domain = core.settings.locality.failure_domain
    return record.locality.failure_domain == domain


def _seek(core: Core, now: float) -> None:
    """Try a few remembered addresses whose nodes aren't members now."""
    alone = not core.heard_links()
    if not alone and now - core.clock.sought < SEEK_AGAIN:
        return
    core.clock.sought = now
    known = {
        record.link
        for name, record in core.book.records.items()
        if name in core.book.alive
    }
    for address in core.addresses.due(now, alone):
        if address not in known:
            dial(core, now, address)


def _close_surplus(core: Core, now: float, wanted: set[Address]) -> None:
    heard = core.heard_links()
    if not wanted <= {link.address for link in heard}:
        return
    for link in heard:
        old = now - link.opened >= SURPLUS_AFTER
        if link.dialled and old and link.address not in wanted:
            close(core, link)
