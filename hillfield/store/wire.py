"""Messages of the etcd v3 JSON gateway: encoding, errors and ranges.

Source: the published `rpc.proto` and `kv.proto` of etcd v3 and the JSON
mapping of protocol buffers: byte strings as base64, 64-bit numbers as
strings, fields with their zero value left out.
"""

from typing import Final, TypeVar

from expression import Error, Ok, Result
from msgspec import MsgspecError, Struct, field
from msgspec.json import decode, encode

from hillfield.store.wire_numbers import spell

NOT_FOUND: Final = 5


class Message(Struct, frozen=True, omit_defaults=True):
    """Be the base of all messages."""


class Header(Message, frozen=True):
    """Stand at the head of each answer."""

    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class KeyValue(Message, frozen=True):
    """Hold one key with its value; revisions are those of writes."""

    key: bytes = b''
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0
    payload: bytes = field(name='value', default=b'')


class RangeRequest(Message, frozen=True):
    """Ask for keys from `key` up to, not including, `range_end`."""

    key: bytes = b''
    range_end: bytes = b''
    limit: int = 0
    revision: int = 0


class RangeResponse(Message, frozen=True):
    """Answer a range."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False
    count: int = 0


class Status(Message, frozen=True):
    """Refuse a call; `code` is a gRPC status code."""

    error: str = ''
    code: int = 0
    message: str = ''

    @property
    def text(self) -> str:
        """Return what is said for people."""
        return self.message or self.error


MessageKind = TypeVar('MessageKind', bound=Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as JSON."""
    return encode(spell(message))


def decode_message(
    kind: type[MessageKind],
    text: bytes,
) -> Result[MessageKind, str]:
    """Decode a message; the error says which field is wrong."""
    try:
        return Ok(decode(text, type=kind, strict=False))
    except (MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Error(str(error))


def read_refusal(text: bytes) -> Status:
    """Read a refusal; it is empty where the text is none.

    >>> read_refusal(b'{"code":5,"message":"no lease"}').text
    'no lease'
    >>> read_refusal(b'<html>').code
    0
    """
    return decode_message(Status, text).default_value(Status())
