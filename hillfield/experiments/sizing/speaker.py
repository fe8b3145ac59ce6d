"""Speak to a real node as if there were a whole fleet behind one peer."""

import asyncio
from collections.abc import Iterator
from itertools import islice
from typing import Final

from msgspec.structs import replace

from hillfield.demo.layout import CLUSTER, KEY, find_free, make_ip
from hillfield.fleet.envelope import Codec
from hillfield.fleet.messages import (
    Heartbeat,
    Hello,
    Message,
    StateUpdate,
    StateUpdates,
)
from hillfield.fleet.records import RecordCodec
from hillfield.fleet.synthetic_fleet import (
    make_member_update,
    make_node_name,
    make_node_settings,
    make_targets_update,
)
from hillfield.link import LinkLayer, LinkSettings
from hillfield.model import Address

# Hosts with one target more than the others: 7,900 on 600 hosts.
MORE_EVERY: Final = 6
BATCH: Final = 16
PAUSE: Final = 0.02
BEAT: Final = 1.0


class Speaker:
    """Be the one peer of a node and tell it of all others.

    Their records are made by the same code as those of real nodes and go
    over a real link. The speaker's heartbeats repeat the node's own hashes,
    so that the node sees no difference to repair.
    """

    def __init__(self, node: Address, nodes: int, targets: int) -> None:
        """Open nothing yet; `nodes` counts the real node too."""
        listen = find_free(make_ip(0))
        self._settings = replace(
            make_node_settings(1),
            cluster=CLUSTER,
            key=KEY.encode(),
            link=listen,
        )
        self._links = LinkLayer(LinkSettings(listen), self._receive)
        self._codec = Codec(self._settings)
        self._records = RecordCodec()
        self._node = node
        self._nodes = nodes
        self._targets = targets
        self._heard = Heartbeat(0, 0, ready=False)
        self._version = 1

    async def run(self) -> None:
        """Ask for a link and beat until cancelled."""
        self._links.open()
        self._links.dial(self._node)
        settings = self._settings
        self._send(Hello(settings.link, settings.locality, is_request=True))
        while True:
            self._send(self._heard)
            await asyncio.sleep(BEAT)  # noqa: WPS476  # a beat at a time

    async def tell_all(self) -> None:
        """Tell the node of all other nodes and their targets."""
        statements = self._list_statements()
        while batch := tuple(islice(statements, BATCH)):
            self._send(StateUpdates(batch))
            await asyncio.sleep(PAUSE)  # noqa: WPS476  # no full queue

    async def change(self, rate: int, seconds: float) -> int:
        """Change so many members' records a second; return the changes."""
        made = round(rate * seconds)
        for number in range(made):
            self._version += 1
            # Each second change alters whom the member hears.
            span = self._nodes - number % 2
            self._send(StateUpdates((self._tell_of(2, span),)))
            await asyncio.sleep(1 / rate)  # noqa: WPS476  # paced
        return made

    def close(self) -> None:
        """Close the link."""
        self._links.close()

    def _list_statements(self) -> Iterator[StateUpdate]:
        for number in range(1, self._nodes):
            yield self._tell_of(number, self._nodes)
            more = number % MORE_EVERY == 0
            targets = self._targets + more
            yield make_targets_update(self._records, number, targets)

    def _tell_of(self, number: int, nodes: int) -> StateUpdate:
        """Return a member's record with the speaker's own link address.

        Else the node would dial addresses at which nobody listens.
        """
        told = make_member_update(self._records, number, nodes, self._version)
        record = self._records.decode_record(told.payload)
        if record is None:
            raise ValueError(make_node_name(number))
        linked = replace(record, link=self._settings.link)
        payload = self._records.encode_record(linked)
        return replace(told, payload=payload)

    def _receive(self, sealed: bytes) -> None:
        opened = self._codec.open(sealed)
        if opened.is_ok() and isinstance(opened.ok.message, Heartbeat):
            heard = opened.ok.message
            self._heard = replace(heard, ready=False)

    def _send(self, message: Message) -> None:
        self._links.send(self._node, self._codec.seal(message, 1))
