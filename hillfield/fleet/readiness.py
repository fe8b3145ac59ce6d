"""Judge whether this node's configuration is new enough to serve by."""

from typing import Final

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.fleet.core import Core
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.records import NodeState

SYNCED_PEERS_NEEDED: Final = 2
WAIT_REPORT_INTERVAL: Final = 10.0


def update_readiness(core: Core, now: float) -> None:
    """Become ready when two ready neighbours hold just what we hold.

    They must be of two failure domains where there are ready neighbours of
    two: a neighbour that lags is then seen by its difference from the other,
    and the newer entries of both are taken.
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


def waiting_for(core: Core) -> str:
    """Say in words what keeps this node from being ready; empty: nothing."""
    if core.own.ready:
        return ''
    heard = core.heard_links()
    if not heard:
        known = len(core.addresses)
        return (
            f'a live peer: none of {known} known addresses answers,'
            ' and no relay entry has been read from the store'
        )
    peers = len(heard)
    if not any(link.ready for link in heard):
        return (
            f'a peer with configuration: none of {peers} heard has it;'
            ' a relay must read it from the store'
        )
    lacking = core.ledger.missing_count
    return (
        'the configuration to be the same as that of two neighbours;'
        f' {lacking} entries are on their way'
    )


def _is_compared(core: Core, now: float) -> bool:
    ready = [link for link in core.heard_links() if link.ready]
    synced = [link for link in ready if link.synced]
    if not synced or core.ledger.missing_count:
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
    if not core.heard_links():
        code = EventCode.WAITING_FOR_PEER
    core.report(code, detail=waiting_for(core))
