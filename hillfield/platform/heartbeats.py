"""Heartbeats of the host's target, and whether this node is ready."""

from http import HTTPStatus
from typing import Final

from expression import Error, Ok, Result
from msgspec import (
    UNSET,
    DecodeError,
    Struct,
    UnsetType,
    ValidationError,
    field,
)
from msgspec.json import decode, encode
from tornado.web import RequestHandler

from hillfield.announcements import Announcement, AnnouncementProblem
from hillfield.announcements.messages import Amount
from hillfield.clocks import monotonic, read_wall
from hillfield.control.plainserver import PlainServer
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.model import Address, Target, TargetState, parse_address
from hillfield.node.departures import DepartureStorage
from hillfield.node.page import NodePage

# No node but this one opens connections to its target, and no more than the
# target has slots: the platform's limit is never reached.
CONNECTIONS: Final = 4096
DRAINING: Final = 'draining'
STATES: Final = frozenset(('ready', DRAINING))


class Lasting(Struct, frozen=True):
    """Hold what stays the same in a life of a target."""

    service: str
    slots: Amount


class Status(Struct, frozen=True):
    """Hold what changes: `warm_up` is the seconds left of a slow start."""

    state: str
    sequence: int
    warm_up: float = field(name='warmupLeftS', default=0)


class Heartbeat(Struct, frozen=True):
    """Hold one heartbeat; `born` is the Unix millisecond of the start."""

    address: str
    lasting: Lasting = field(name='info')
    status: Status
    born: int | UnsetType = UNSET


def read_heartbeat(
    body: bytes,
) -> Result[tuple[Announcement, int], str]:
    """Read a heartbeat into an announcement and its sequence number."""
    try:
        wire = decode(body, type=Heartbeat)
    except (DecodeError, ValidationError) as wrong:
        return Error(str(wrong))
    if wire.status.state not in STATES:
        return Error('status.state: write ready or draining')
    address = parse_address(wire.address)
    if address.is_error():
        return Error(f'address: {address.error}')
    announcement = Announcement(
        wire.lasting.service,
        address.ok,
        wire.lasting.slots,
        CONNECTIONS,
        incarnation=None if wire.born is UNSET else wire.born,
        state=_read_state(wire.status),
    )
    return Ok((announcement, wire.status.sequence))


def _read_state(status: Status) -> TargetState:
    if status.state == DRAINING:
        return TargetState.DRAINING
    if status.warm_up > 0:
        return TargetState.COLD
    return TargetState.READY


class HeartbeatHandler(RequestHandler):
    """Take heartbeats and farewells of the host's target."""

    def initialize(
        self, departures: DepartureStorage, journal: Journal
    ) -> None:
        """Take where they go."""
        self._departures = departures
        self._seating = departures.tracker
        self._journal = journal

    async def put(self, name: str) -> None:
        """Take a heartbeat; the answer binds the fleet."""
        read = read_heartbeat(self.request.body)
        if read.is_error():
            self._refuse(name, read.error)
            return
        announcement, sequence = read.ok
        now, wall = monotonic(), read_wall()
        told = self._seating.announce(now, wall, name, sequence, announcement)
        await self._acknowledge(name, told)

    async def delete(self, name: str) -> None:
        """Take a farewell; the answer binds the fleet."""
        told = self._seating.withdraw(monotonic(), name, read_wall())
        await self._acknowledge(name, told)

    async def _acknowledge(
        self,
        name: str,
        told: Result[Target, AnnouncementProblem],
    ) -> None:
        # A late heartbeat changes nothing, and its sender needs no repeat.
        if told.is_error():
            problem = told.error
            self._note(name, f'{problem.field}: {problem.found}')
        # What is acknowledged binds also after all nodes have been killed.
        if not await self._departures.keep(name):
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.set_header('Content-Type', 'application/json')
        self.finish(encode({}))

    def _refuse(self, name: str, detail: str) -> None:
        self._note(name, detail)
        self.set_status(HTTPStatus.BAD_REQUEST)
        self.finish(encode({'error': detail}))

    def _note(self, name: str, detail: str) -> None:
        self._journal.record(
            Occurrence(
                EventCode.ANNOUNCEMENT_REFUSED,
                peer=name,
                detail=detail,
            ),
        )


class ReadyHandler(RequestHandler):
    """Tell the platform whether the node takes work."""

    def initialize(self, page: NodePage) -> None:
        """Take who knows it."""
        self._page = page

    def get(self) -> None:
        """Answer 200 when ready, else 503 with the reasons."""
        readiness = self._page.read_readiness()
        if not readiness.ready:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish(encode({'reasons': readiness.reasons}))


def make_heartbeat_server(
    address: Address,
    departures: DepartureStorage,
    journal: Journal,
) -> PlainServer:
    """Return the server that the target calls."""
    parts = {'departures': departures, 'journal': journal}
    paths = [('/instances/([^/]+)', HeartbeatHandler, parts)]
    return PlainServer(address, paths)


def make_ready_server(address: Address, page: NodePage) -> PlainServer:
    """Return the server that the platform asks each second."""
    return PlainServer(address, [('/ready', ReadyHandler, {'page': page})])
