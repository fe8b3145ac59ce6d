"""The store relay of a node."""

from random import Random

from hillfield.fleet import Fleet
from hillfield.fleet.store_relay import StoreRelay
from hillfield.node.parts import Parts


def make_relay(parts: Parts, fleet: Fleet) -> StoreRelay:
    """Return the node's store relay; it idles unless it holds a slot."""
    return StoreRelay(fleet, parts.store, Random(), parts.journal)
