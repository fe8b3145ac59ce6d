"""Decide whether this node's configuration is current enough to serve."""

from typing import Final

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.fleet.core import Core
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.records import NodeState

# Neighbours, and failure domains of theirs, that must hold the same entries.
SYNCED_PEERS_NEEDED: Final = 2
# Seconds between two reports of what the node waits for.
WAIT_REPORT_INTERVAL: Final = 10.0


def update_readiness(core: Core, now: float) -> None:
    """Become ready when two ready neighbours hold the same entries.

    They must be of two failure domains if there are ready neighbours in two.
    A neighbour that lags behind then differs from the other one, and the
    newer entries of both are pulled.
    """
    if core.own.ready:
        return
    if core.own.loaded or _is_compared(core, now):
        core.own.ready = True
        core.own.record = replace(core.own.record, state=NodeState.SERVING)
        core.report(EventCode.CONFIGURATION_READY)
        return
    if now - core.times.wait_reported >= WAIT_REPORT_INTERVAL:
        core.times.wait_reported = now
        _report_waiting(core)


def describe_missing_readiness(core: Core) -> str:
    """Describe what keeps this node from being ready; empty if it is."""
    if core.own.ready:
        return ''
    reachable = core.reachable_links()
    if not reachable:
        known = len(core.addresses)
        return (
            f'a live peer: none of {known} known addresses answers,'
            ' and no relay entry has been read from the store'
        )
    peers = len(reachable)
    if not any(link.ready for link in reachable):
        return (
            f'a peer with configuration: none of {peers} reachable has it;'
            ' a relay must read it from the store'
        )
    missing = core.entry_index.missing_count
    return (
        'the configuration to be the same as that of two neighbours;'
        f' {missing} entries are missing'
    )


def _is_compared(core: Core, now: float) -> bool:
    ready = [link for link in core.reachable_links() if link.ready]
    synced = [link for link in ready if link.synced]
    if not synced or core.entry_index.missing_count:
        return False
    if len(ready) < SYNCED_PEERS_NEEDED:
        return now - core.times.started >= core.settings.settle
    domains = min(SYNCED_PEERS_NEEDED, len(_domains(ready)))
    return (
        len(synced) >= SYNCED_PEERS_NEEDED and len(_domains(synced)) >= domains
    )


def _domains(links: list[Link]) -> set[str]:
    return {
        link.locality.failure_domain
        for link in links
        if link.locality is not None
    }


def _report_waiting(core: Core) -> None:
    code = EventCode.WAITING_FOR_CONFIGURATION
    if not core.reachable_links():
        code = EventCode.WAITING_FOR_PEER
    core.report(code, detail=describe_missing_readiness(core))
