"""Messages of the gateway's transactions."""

from typing import Literal

from msgspec import field

from hillfield.store.wire import (
    Header,
    Message,
    RangeRequest,
    RangeResponse,
)


class Compare(Message, frozen=True):
    """Hold a condition on the revision of a key's last write (0: absent)."""

    key: bytes = b''
    target: Literal['VERSION', 'CREATE', 'MOD', 'VALUE', 'LEASE'] = 'VERSION'
    relation: Literal['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL'] = field(
        name='result',
        default='EQUAL',
    )
    # None only so that a comparison with 0 is written out.
    mod_revision: int | None = None


class PutRequest(Message, frozen=True):
    """Write a key."""

    key: bytes = b''
    payload: bytes = field(name='value', default=b'')
    lease: int = 0


class DeleteRequest(Message, frozen=True):
    """Delete one key."""

    key: bytes = b''


class RequestOperation(Message, frozen=True):
    """Hold one of the three."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None

    @property
    def requests(self) -> tuple[Message, ...]:
        """Return those that are set."""
        held = (
            self.request_range,
            self.request_put,
            self.request_delete_range,
        )
        return tuple(request for request in held if request is not None)


class TransactionRequest(Message, frozen=True):
    """Do `success` if all conditions hold, else `failure`."""

    compare: tuple[Compare, ...] = ()
    success: tuple[RequestOperation, ...] = ()
    failure: tuple[RequestOperation, ...] = ()


class PutResponse(Message, frozen=True):
    """Answer a write."""

    header: Header = Header()


class DeleteResponse(Message, frozen=True):
    """Answer a deletion."""

    header: Header = Header()
    deleted: int = 0


class ResponseOperation(Message, frozen=True):
    """Hold one of the three."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteResponse | None = None


class TransactionResponse(Message, frozen=True):
    """Answer a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[ResponseOperation, ...] = ()
