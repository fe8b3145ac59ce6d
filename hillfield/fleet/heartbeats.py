"""Build and send heartbeats, and track how old the node's entries are.

That a neighbour is alive says nothing about the store: it may be as cut off
from it as this node. So heartbeats carry the time since any node last read
the store, and a store read is disseminated at once by extra heartbeats from
neighbour to neighbour. Each node then knows how long ago its entries were
known to be all that the store holds.
"""

from math import inf
from typing import Final

from hillfield.fleet.core import Core
from hillfield.fleet.messages import Heartbeat, Hello
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.replication.entry_index import EntryIndex

# Seconds by which a confirmation must be later than the one last sent for
# heartbeats to be sent at once: one store read is reported by several
# neighbours, a few ms apart.
IMMEDIATE_STEP: Final = 0.25
MILLISECONDS: Final = 1000


def build_heartbeat(core: Core, now: float) -> Heartbeat:
    """Return a heartbeat with the hashes of this node's state."""
    age = compute_entries_age(core, now)
    return Heartbeat(
        core.state_table.summary.total,
        core.entry_index.summary.total,
        core.own.ready,
        core.entry_index.newest_revision,
        None if age == inf else round(age * MILLISECONDS),
        core.own.read_failed,
    )


def send_heartbeats(core: Core, now: float) -> None:
    """Send a heartbeat over each link, or a hello if its peer is not up."""
    core.times.heartbeat_sent = now
    core.times.confirmation_sent = core.own.confirmed
    heartbeat = build_heartbeat(core, now)
    for link in core.links:
        if link.up:
            core.outbox.send(link.address, heartbeat)
        else:
            hello = build_hello(core, asks=link.dialled)
            core.outbox.send(link.address, hello)


def build_hello(core: Core, asks: bool) -> Hello:
    """Return the message that requests or grants a link."""
    return Hello(core.settings.link, core.settings.locality, asks)


def compute_entries_age(core: Core, now: float) -> float:
    """Return the seconds since this node's entries were confirmed.

    They were then known to be all that the store holds.
    """
    return now - core.own.confirmed


def confirm_entries(core: Core, now: float, read_at: float) -> None:
    """Record that this node holds all that the store held at `read_at`."""
    if read_at <= core.own.confirmed:
        return
    core.own.confirmed = read_at
    core.own.read_failed = False
    if read_at - core.times.confirmation_sent >= IMMEDIATE_STEP:
        send_heartbeats(core, now)


def receive_confirmation(
    core: Core,
    now: float,
    link: Link,
    message: Heartbeat,
) -> None:
    """Record a neighbour's store age; apply it if its entries are held here.

    Otherwise it is applied once the missing entries have come.
    """
    link.read_failed = message.read_failed
    if message.read_age_ms is None or message.read_age_ms < 0:
        return
    link.confirmed = now - message.read_age_ms / MILLISECONDS
    link.entries_hash = message.entries_hash
    link.newest = message.newest
    confirm_from_link(core, now, link)


def confirm_from_link(core: Core, now: float, link: Link) -> None:
    """Confirm this node's entries if a confirmed neighbour holds no others."""
    if _holds_all(core.entry_index, link):
        confirm_entries(core, now, link.confirmed)


def _holds_all(index: EntryIndex, link: Link) -> bool:
    """Return whether a neighbour's entries, or newer ones, are held here."""
    if link.entries_hash == index.summary.total:
        return True
    return len(index.summary) == 1 and index.newest_revision > link.newest
