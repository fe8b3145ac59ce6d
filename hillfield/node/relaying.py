"""The store relay of a node."""

from random import Random

from hillfield.fleet import Fleet
from hillfield.fleet.relay import Relay
from hillfield.node.parts import Parts


def make_relay(parts: Parts, fleet: Fleet) -> Relay:
    """Return the node's store relay; it idles unless it holds a slot."""
    return Relay(fleet, parts.store, Random(), parts.journal)
