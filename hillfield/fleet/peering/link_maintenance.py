"""Maintain a node's links: open, send heartbeats, detect silence, close."""

from typing import Final

from msgspec.structs import replace

from hillfield.clocks import LATENESS_TOLERANCE
from hillfield.events import EventCode
from hillfield.fleet.core import Core
from hillfield.fleet.heartbeats import (
    build_hello,
    compute_entries_age,
    send_heartbeats,
)
from hillfield.fleet.messages import Goodbye
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.peering.selection import PeerCandidates, choose_peers
from hillfield.fleet.records import NodeRecord
from hillfield.fleet.store_reads import WATCHER_READ_AGE
from hillfield.model import Address

# Seconds between two ticks from which a node sends its neighbours a hello:
# they may have closed their links to it.
PAUSE_NOTICED: Final = 1.5
# Seconds between two choices of peers.
SELECTION_INTERVAL: Final = 1.0
# Seconds between two attempts at remembered addresses.
DISCOVERY_INTERVAL: Final = 5.0
# Age in seconds from which a dialled link that is not needed is closed.
SURPLUS_LINK_AGE: Final = 30.0
# Seconds for which a silent peer is not chosen again.
BAN_SECONDS: Final = 15.0
# Seconds from the time at which a store read is due until the first watcher
# has read the store and its heartbeats have come.
READ_DURATION: Final = 0.15


def handle_pause(core: Core, now: float) -> None:
    """Discount this node's own pause, and request its links again after it.

    Messages that came during a pause, also a short one, are still unread.
    Only the end that dialled a link requests it again: a link that both ends
    had accepted would be closed by neither.
    """
    gap = now - core.times.ticked
    core.times.ticked = now
    late = gap - core.settings.tick
    if not LATENESS_TOLERANCE < late < float('inf'):
        return
    for link in core.links:
        link.discount_pause(now, late)
    if gap < PAUSE_NOTICED:
        return
    core.report(EventCode.PAUSE_NOTICED, detail=f'{gap:.1f} s')
    for link in core.links:
        core.outbox.send(link.address, build_hello(core, asks=link.dialled))


def send_due_heartbeats(core: Core, now: float) -> None:
    """Send heartbeats if they are due and no store read will soon cause them."""
    if now - core.times.heartbeat_sent < core.settings.heartbeat:
        return
    if compute_entries_age(core, now) >= WATCHER_READ_AGE + READ_DURATION:
        send_heartbeats(core, now)


def check_silence(core: Core, now: float) -> None:
    """Mark silent peers as unreachable, and later close their links."""
    settings = core.settings
    for link in core.links:
        silence = now - link.last_activity
        if link.up and silence >= settings.suspect_after:
            link.up = False
            link.received_in_row = 0
            core.report(EventCode.NEIGHBOUR_SILENT, peer=link.name)
        limit = settings.link_dead_after
        if not link.name:
            limit = settings.suspect_after
        if silence >= limit:
            core.banned_until[link.address] = now + BAN_SECONDS
            close_link(core, link)


def close_link(core: Core, link: Link) -> None:
    """Close a link with a goodbye to its peer."""
    core.outbox.send(link.address, Goodbye('closed'))
    core.links.close(link)
    core.outbox.disconnect(link.address)


def update_reachable_peers(core: Core) -> None:
    """Update the reachable peers in this node's record."""
    names = sorted(link.name for link in core.reachable_links())
    if tuple(names) != core.own.record.receives_from:
        core.own.record = replace(core.own.record, receives_from=tuple(names))


def maintain_links(core: Core, now: float) -> None:
    """Open links to the peers chosen from the membership."""
    if now - core.times.links_selected < SELECTION_INTERVAL:
        return
    core.times.links_selected = now
    _dial_remembered(core, now)
    banned = {peer for peer, until in core.banned_until.items() if until > now}
    core.banned_until = {peer: core.banned_until[peer] for peer in banned}
    others = tuple(
        record
        for name, record in core.state_table.records.items()
        if name in core.state_table.alive
        and name != core.own.record.name
        and record.link not in banned
        and is_link_allowed(core, record)
    )
    wanted = {
        chosen.link
        for chosen in choose_peers(
            PeerCandidates(
                core.own.record, others, core.settings.dialled_links
            ),
        )
    }
    for link in sorted(wanted):
        dial_peer(core, now, link)
    _close_surplus(core, now, wanted)


def dial_peer(core: Core, now: float, address: Address) -> None:
    """Open a link to an address, unless there is one."""
    if (
        core.links.find_by_address(address) is not None
        or address == core.settings.link
    ):
        return
    core.links.open(Link(address, dialled=True, opened=now))
    core.outbox.dial(address)
    core.outbox.send(address, build_hello(core, asks=True))


def is_link_allowed(core: Core, record: NodeRecord) -> bool:
    """Return whether this node may dial another one."""
    if not core.settings.sparse or core.own.record.relay_slot:
        return True
    domain = core.settings.locality.failure_domain
    return record.locality.failure_domain == domain


def _dial_remembered(core: Core, now: float) -> None:
    """Dial a few remembered addresses whose nodes are no members now."""
    alone = not core.reachable_links()
    if not alone and now - core.times.addresses_tried < DISCOVERY_INTERVAL:
        return
    core.times.addresses_tried = now
    known = {
        record.link
        for name, record in core.state_table.records.items()
        if name in core.state_table.alive
    }
    for address in core.addresses.select_due(now, alone):
        if address not in known:
            dial_peer(core, now, address)


def _close_surplus(core: Core, now: float, wanted: set[Address]) -> None:
    reachable = core.reachable_links()
    if not wanted <= {link.address for link in reachable}:
        return
    for link in reachable:
        old = now - link.opened >= SURPLUS_LINK_AGE
        if link.dialled and old and link.address not in wanted:
            close_link(core, link)
