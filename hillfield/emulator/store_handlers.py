"""Answer the gateway's calls at the store stand-in."""

from asyncio import sleep
from http import HTTPStatus
from typing import Final, TypeVar

from expression import Result
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPServerRequest
from tornado.web import Finish, RequestHandler

from hillfield.emulator.store_core import INVALID, NOT_FOUND
from hillfield.emulator.store_faults import Outage
from hillfield.emulator.store_state import StoreState
from hillfield.emulator.store_values import Refusal
from hillfield.emulator.store_wire import (
    read_lookup,
    read_transaction,
    write_finished,
    write_reading,
)
from hillfield.store.counters import CallKind
from hillfield.store.wire import (
    Message,
    MessageKind,
    RangeRequest,
    Status,
    decode_message,
    encode_message,
)
from hillfield.store.wire_transactions import TransactionRequest

UNAVAILABLE: Final = 14
WRITES: Final = frozenset((CallKind.SWAP, CallKind.GRANT, CallKind.REVOKE))


Unwrapped = TypeVar('Unwrapped')


class GatewayHandler(RequestHandler):
    """Be the base of all calls: measure, delay, refuse while down."""

    kind: CallKind

    def initialize(self, state: StoreState) -> None:
        """Take the state."""
        self.state = state

    async def prepare(self) -> None:
        """Count the call and bring the faults about."""
        client = self.request.headers.get('User-Agent', '')
        now = self.state.clock()
        self.state.calls.note_call(now, self.name_kind(), client)
        if self.state.faults.outage is not Outage.NONE:
            self.refuse(Refusal(UNAVAILABLE, 'no leader'))
        if self.state.faults.delay > 0:
            await sleep(self.state.faults.delay)

    def name_kind(self) -> CallKind:
        """Return what the call counts as."""
        return self.kind

    def read_body(self, kind: type[MessageKind]) -> MessageKind:
        """Decode the body or refuse the call."""
        decoded = decode_message(kind, self.request.body)
        return self.unwrap(
            decoded.map_error(lambda detail: Refusal(INVALID, detail)),
        )

    def unwrap(self, reply: Result[Unwrapped, Refusal]) -> Unwrapped:
        """Return what came out or refuse the call."""
        if reply.is_error():
            self.refuse(reply.error)
        return reply.ok

    def refuse(self, refusal: Refusal) -> None:
        """End the call with a gRPC status."""
        statuses = {
            NOT_FOUND: HTTPStatus.NOT_FOUND,
            UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
        }
        self.set_status(statuses.get(refusal.code, HTTPStatus.BAD_REQUEST))
        text = refusal.message
        self.finish(
            encode_message(Status(text, refusal.code, text)),
        )
        raise Finish

    def reply(self, message: Message) -> None:
        """Answer, or lose the answer if told to."""
        writes = self.kind in WRITES
        lost = self.state.takes_answer() if writes else self.state.takes_read()
        if lost:
            cut(self.request)
            raise Finish
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_message(message))


class RangeHandler(GatewayHandler):
    """Answer ranges."""

    kind = CallKind.READ_RANGE

    def name_kind(self) -> CallKind:
        """Tell one key from a range."""
        message = decode_message(RangeRequest, self.request.body)
        if message.is_ok() and not message.ok.range_end:
            return CallKind.GET
        return self.kind

    def post(self) -> None:
        """Read a range."""
        lookup = read_lookup(self.read_body(RangeRequest))
        reading = self.unwrap(self.state.read(lookup))
        self.reply(write_reading(reading))


class TransactionHandler(GatewayHandler):
    """Answer transactions."""

    kind = CallKind.SWAP

    def post(self) -> None:
        """Do a transaction."""
        message = self.read_body(TransactionRequest)
        transaction = self.unwrap(read_transaction(message))
        finished = self.unwrap(self.state.transact(transaction))
        revision = self.state.core.revision
        self.reply(write_finished(revision, transaction, finished))


def cut(request: HTTPServerRequest) -> None:
    """Close a request's connection without an answer."""
    connection = request.connection
    if isinstance(connection, HTTP1Connection):
        connection.stream.close()
