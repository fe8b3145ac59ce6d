"""Build a state that holds the updates of a fleet of any size, for tests."""

from typing import Final

from hillfield.fleet.effects import Ticked
from hillfield.fleet.envelope import Received
from hillfield.fleet.mesh import MemoryStore
from hillfield.fleet.messages import Heartbeat, Hello, StateUpdate, StateUpdates
from hillfield.fleet.records import (
    NodeRecord,
    NodeState,
    RecordCodec,
    UpdateKind,
)
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state import FleetState
from hillfield.model import Address, Locality, Target, TargetId

REGIONS: Final = 2
DOMAINS: Final = 8
SERVICES: Final = 260
FIRST_PORT: Final = 2000
NEIGHBOUR_DIVISOR: Final = 3
START: Final = 1000.0
SECOND: Final = 1.0
TARGET_SLOTS: Final = 8
OWN_NUMBER: Final = 0


def make_node_name(number: int) -> str:
    """Return the name of a node.

    >>> make_node_name(7)
    'node-0007'
    """
    return 'node-{0:04d}'.format(number)


def make_node_settings(number: int) -> FleetSettings:
    """Return the settings of a node of the synthetic fleet."""
    address = Address('127.0.0.1', FIRST_PORT + number)
    region = number % REGIONS
    domain = number % DOMAINS
    return FleetSettings(
        cluster='measured',
        key=b'measured',
        name=make_node_name(number),
        incarnation=1,
        locality=Locality(f'region-{region}', f'domain-{domain}', f'h{number}'),
        link=address,
        control=address,
        caller=address,
    )


def make_member_update(
    codec: RecordCodec,
    number: int,
    nodes: int,
    version: int,
) -> StateUpdate:
    """Return a node's record, which receives from neighbours on both sides."""
    settings = make_node_settings(number)
    steps = (1, nodes // NEIGHBOUR_DIVISOR, nodes // 2)
    senders = {(number + step) % nodes for step in steps}
    senders |= {(number - step) % nodes for step in steps}
    record = NodeRecord(
        name=settings.name,
        locality=settings.locality,
        link=settings.link,
        control=settings.control,
        caller=settings.caller,
        state=NodeState.SERVING,
        receives_from=tuple(sorted(make_node_name(one) for one in senders)),
    )
    payload = codec.encode_record(record)
    return StateUpdate(UpdateKind.MEMBER, settings.name, 1, version, payload)


def make_targets_update(
    codec: RecordCodec,
    number: int,
    targets: int,
) -> StateUpdate:
    """Return the update with a host's targets."""
    home = make_node_settings(number).locality
    listed = tuple(
        Target(
            id=TargetId(
                'service-{0}'.format((number + index) % SERVICES),
                Address('127.0.0.1', FIRST_PORT + index),
                1,
            ),
            locality=home,
            slots=TARGET_SLOTS,
            connection_limit=TARGET_SLOTS,
        )
        for index in range(targets)
    )
    payload = codec.encode_targets(home, listed)
    return StateUpdate(
        UpdateKind.TARGETS, make_node_name(number), 1, 1, payload
    )


def receive_from_peer(message: Hello | Heartbeat | StateUpdates) -> Received:
    """Return a message as received from the only neighbour."""
    return Received(make_node_name(1), 1, message)


def load_state(nodes: int, targets: int) -> FleetState:
    """Return a state with all nodes alive and `targets` targets per host."""
    settings = make_node_settings(OWN_NUMBER)
    peer = make_node_settings(1)
    state = FleetState(settings, MemoryStore())
    state.handle_event(START, Ticked())
    hello = Hello(peer.link, peer.locality, is_request=True)
    state.handle_event(START, receive_from_peer(hello))
    state.handle_event(START, receive_from_peer(Heartbeat(0, 0, ready=True)))
    codec = state.core.codec
    for number in range(1, nodes):
        pair = (
            make_member_update(codec, number, nodes, 1),
            make_targets_update(codec, number, targets),
        )
        state.handle_event(START, receive_from_peer(StateUpdates(pair)))
    state.handle_event(START + SECOND, Ticked())
    state.handle_event(START + SECOND + SECOND, Ticked())
    return state
