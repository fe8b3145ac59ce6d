"""Handle the messages that arrive over links."""

from functools import singledispatch
from math import inf
from typing import Final

from msgspec import Struct

from hillfield.events import EventCode
from hillfield.fleet.core import Core
from hillfield.fleet.envelope import Received, Refusal
from hillfield.fleet.heartbeats import build_heartbeat, build_hello
from hillfield.fleet.messages import (
    Goodbye,
    Hello,
    Referral,
    StateUpdates,
)
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.records import UpdateKind
from hillfield.fleet.replication.summary import hash_text
from hillfield.fleet.state_updates import receive_update
from hillfield.model import Address

# Messages in a row after which a peer counts as reachable.
MESSAGES_UNTIL_UP: Final = 2
# Addresses in one referral.
REFERRAL_LIMIT: Final = 6


class MessageSource(Struct, frozen=True):
    """Hold when, from which node and over which link a message came."""

    now: float
    sender: str
    incarnation: int
    link: Link | None


@singledispatch
def handle_message(message: object, core: Core, source: MessageSource) -> None:
    """Handle a message; the codec has refused unknown kinds."""
    raise TypeError(type(message).__name__)


def receive_message(core: Core, now: float, received: Received) -> None:
    """Record that the sender is alive and handle its message."""
    if received.sender == core.own.record.name:
        core.count('own-name')
        return
    held = core.state_table.get(UpdateKind.MEMBER, received.sender)
    link = core.links.find_by_name(received.sender)
    source = MessageSource(now, received.sender, received.incarnation, link)
    if held and received.incarnation < held.incarnation:
        core.count(Refusal.STALE_SENDER)
        _answer_stale_sender(core, received, source)
        return
    if link is not None:
        _record_received(core, link, source)
    handle_message(received.message, core, source)


@handle_message.register
def _(message: Hello, core: Core, source: MessageSource) -> None:
    link = core.links.find_by_address(message.link)
    if link is None:
        if not message.is_request or message.link == core.settings.link:
            return
        if core.links.count_accepted() >= core.settings.accepted_links:
            _refer(core, message.link)
            return
        link = Link(message.link, dialled=False, opened=source.now)
        core.links.open(link)
        core.outbox.dial(link.address)
    if link.name != source.sender:
        core.links.set_name(link, source.sender)
        link.received_in_row = 0
        _record_received(core, link, source)
    link.locality = message.locality
    if message.is_request:
        core.outbox.send(link.address, build_hello(core, asks=False))
    if not link.up:
        core.outbox.send(link.address, build_heartbeat(core, source.now))


@handle_message.register
def _(message: Referral, core: Core, source: MessageSource) -> None:
    for address in message.links[:REFERRAL_LIMIT]:
        core.addresses.add(source.now, address)


@handle_message.register
def _(message: Goodbye, core: Core, source: MessageSource) -> None:
    if source.link is not None:
        core.links.close(source.link)
        core.outbox.disconnect(source.link.address)


@handle_message.register
def _(message: StateUpdates, core: Core, source: MessageSource) -> None:
    for update in message.updates:
        receive_update(core, source.now, update, source.link)


def _record_received(core: Core, link: Link, source: MessageSource) -> None:
    if link.incarnation != source.incarnation:
        link.incarnation = source.incarnation
        link.ready = False
        link.synced = False
        link.hashes_sent = -inf
    link.last_received = source.now
    link.received_in_row += 1
    if link.received_in_row >= MESSAGES_UNTIL_UP and not link.up:
        link.up = True
        core.report(EventCode.NEIGHBOUR_HEARD, peer=link.name)
        core.outbox.send(link.address, build_heartbeat(core, source.now))


def _refer(core: Core, asker: Address) -> None:
    """Send a refused node a few other members, different for each asker."""
    core.count('referred')
    members = sorted(
        (
            core.state_table.records[name].link
            for name in core.state_table.alive
        ),
        key=lambda link: hash_text(f'{asker}>{link}'),
    )
    others = [link for link in members if link != core.settings.link]
    core.outbox.dial(asker)
    core.outbox.send(asker, Referral(tuple(others[:REFERRAL_LIMIT])))
    core.outbox.disconnect(asker)


def _answer_stale_sender(
    core: Core, received: Received, source: MessageSource
) -> None:
    """Send a node of an earlier incarnation the newest record of its name.

    A node whose clock was set back then raises its incarnation.
    """
    held = core.state_table.get(UpdateKind.MEMBER, received.sender)
    if not isinstance(received.message, Hello) or held is None:
        return
    address = received.message.link
    if core.links.find_by_address(address) is None:
        if core.links.count_accepted() >= core.settings.accepted_links:
            return
        core.links.open(Link(address, dialled=False, opened=source.now))
        core.outbox.dial(address)
    core.outbox.send(address, StateUpdates((held,)))
