"""What nodes tell their neighbours at times, and what it tells of the store.

A neighbour's sign of life says nothing of the store: it may hear as little of
it as this node. So heartbeats tell when somebody last read the store, and a
reading is told on at once, as a wave of heartbeats: each node then knows how
long ago what it holds was known to be all that the store holds.
"""

from math import inf
from typing import Final

from hillfield.fleet.core import Core
from hillfield.fleet.messages import Heartbeat, Hello
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.replication.entry_index import EntryIndex

# Seconds by which a reading is later than the one told of last, to be told at
# once: one reading comes by several neighbours, a few ms apart.
IMMEDIATE_STEP: Final = 0.25
MILLISECONDS: Final = 1000


def build_heartbeat(core: Core, now: float) -> Heartbeat:
    """Return the heartbeat that sums up what this node knows."""
    age = find_age(core, now)
    return Heartbeat(
        core.book.summary.total,
        core.ledger.summary.total,
        core.own.ready,
        core.ledger.newest_revision,
        None if age == inf else round(age * MILLISECONDS),
        core.own.read_failed,
    )


def send_heartbeats(core: Core, now: float) -> None:
    """Send a heartbeat over each link, or a hello where none was heard."""
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
    """Return the message that opens a link."""
    return Hello(core.settings.link, core.settings.locality, asks)


def find_age(core: Core, now: float) -> float:
    """Return the seconds since the store is known to have held no more."""
    return now - core.own.confirmed


def confirm_entries(core: Core, now: float, read_at: float) -> None:
    """Note that this node holds all that the store held at a moment."""
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
    """Take what a neighbour tells of the store, now or once it is held."""
    link.read_failed = message.read_failed
    if message.read_age_ms is None or message.read_age_ms < 0:
        return
    link.confirmed = now - message.read_age_ms / MILLISECONDS
    link.entries_hash = message.entries_hash
    link.newest = message.newest
    confirm_from_link(core, now, link)


def confirm_from_link(core: Core, now: float, link: Link) -> None:
    """Confirm by what a neighbour told, if all that it held is held here."""
    if _holds_all(core.ledger, link):
        confirm_entries(core, now, link.confirmed)


def _holds_all(ledger: EntryIndex, link: Link) -> bool:
    """Tell whether all that a neighbour told of is held here, or newer."""
    if link.entries_hash == ledger.summary.total:
        return True
    return len(ledger.summary) == 1 and ledger.newest_revision > link.newest
