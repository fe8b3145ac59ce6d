"""The node's bridge to the store."""

from random import Random

from hillfield.fleet import Fleet
from hillfield.fleet.relay import Relay
from hillfield.node.parts import Parts


def make_relay(parts: Parts, fleet: Fleet) -> Relay:
    """Return the node's bridge to the store, idle unless a slot is open."""
    return Relay(fleet, parts.store, Random(), parts.journal)
