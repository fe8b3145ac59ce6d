"""Disseminate configuration entries: announce, pull, adopt, announce again."""

from collections import defaultdict
from math import inf
from typing import Final

from hillfield.configuration.entries import Entry
from hillfield.events import EventCode
from hillfield.fleet.core import Core, EntrySource, Subject
from hillfield.fleet.heartbeats import confirm_from_link
from hillfield.fleet.message_handlers import MessageSource, handle_message
from hillfield.fleet.messages import Entries, Have, Version, Want
from hillfield.fleet.peering.cross_domain import is_cross_domain
from hillfield.fleet.peering.link_table import Link
from hillfield.model import Address

# Seconds that a pull of an entry from another failure domain waits for this
# domain's own watchers of the store: they receive it within 0.05 s.
CROSS_DOMAIN_PULL_DELAY: Final = 0.25


def adopt_entry(
    core: Core,
    entry: Entry,
    source: Link | None,
    entry_source: EntrySource = EntrySource.NEIGHBOUR,
) -> bool:
    """Adopt an entry and announce it; return False if it is not newer."""
    if not core.entry_index.adopt(entry):
        core.count('entry-not-adopted')
        return False
    core.report(
        EventCode.ENTRY_CAME,
        peer='' if source is None else source.name,
        detail=f'{entry.key} at revision {entry.revision} by {entry_source.value}',
    )
    version = Version(entry.key, 0, entry.revision)
    for link in core.links:
        if link.up and link is not source:
            core.outbox.queue_offer(link.address, version)
    return True


def record_offers(
    core: Core,
    now: float,
    link: Link,
    versions: tuple[Version, ...],
) -> None:
    """Record which entries a neighbour holds, so that missing ones are pulled.

    Over a cross-domain link a pull waits until this domain's own watchers of
    the store would have announced the entry.
    """
    earliest = (
        now + CROSS_DOMAIN_PULL_DELAY if is_cross_domain(core, link) else -inf
    )
    for version in versions:
        core.entry_index.record_offer(link.address, version, earliest)


def request_missing_entries(core: Core, now: float) -> None:
    """Request entries that are known to be missing, within the window."""
    if not core.entry_index.missing_count:
        return
    peers = tuple(link.address for link in core.reachable_links())
    requests: dict[Address, list[str]] = defaultdict(list)
    for missing in core.entry_index.select_pulls(now, peers):
        requests[missing.peer].append(missing.version.key)
    for peer, keys in requests.items():
        core.outbox.send(peer, Want(Subject.ENTRIES, tuple(keys)))


@handle_message.register
def _(message: Have, core: Core, source: MessageSource) -> None:
    if source.link is not None:
        record_offers(core, source.now, source.link, message.versions)


@handle_message.register
def _(message: Entries, core: Core, source: MessageSource) -> None:
    for entry in message.entries:
        adopt_entry(core, entry, source.link)
    for link in core.links:
        confirm_from_link(core, source.now, link)
