"""Which links cross failure domains, and what is told over those."""

from hillfield.fleet.core import Core
from hillfield.fleet.messages import Statement
from hillfield.fleet.peering.link_table import Link


def is_cross_domain(core: Core, link: Link) -> bool:
    """Tell whether bytes over a link cross failure domains and are dear."""
    if not core.settings.sparse or link.locality is None:
        return False
    return link.locality.failure_domain != _home(core)


def is_update_sent(core: Core, link: Link, statement: Statement) -> bool:
    """Tell whether a statement is told over a link at once.

    Over a dear link go only statements of nodes of this failure domain, and
    only from a holder of a relay slot: each domain tells the others its own
    news. What they miss is found by the hashes of heartbeats.
    """
    if not is_cross_domain(core, link):
        return True
    if not core.own.record.relay_of:
        return False
    record = core.book.records.get(statement.name)
    return record is None or record.locality.failure_domain == _home(core)


def _home(core: Core) -> str:
    return core.settings.locality.failure_domain
