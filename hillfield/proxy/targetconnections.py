"""Reading of answers on a connection to a target."""

from typing import Final

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import HTTPMessageDelegate

from hillfield.proxy.incoming import IncomingAnswer
from hillfield.proxy.settings import ProxySettings
from hillfield.proxy.streams import NoDelayStream

_LARGEST_BODY: Final = 1_000_000_000_000


class AnswerReceiver(HTTPMessageDelegate):
    """Receiver of the answers on a connection to a target."""

    answer: IncomingAnswer
    ended: bool


def open_connection(
    stream: NoDelayStream,
    settings: ProxySettings,
) -> HTTP1Connection:
    """Return a connection for one request to a target."""
    return HTTP1Connection(
        stream,
        is_client=True,
        params=HTTP1ConnectionParameters(
            chunk_size=settings.part_size,
            max_header_size=settings.answer_head_limit,
            max_body_size=_LARGEST_BODY,
        ),
    )


async def read_answer(
    receiver: AnswerReceiver,
    connection: HTTP1Connection,
    stream: NoDelayStream,
) -> None:
    """Read answers up to the one that belongs to the current request.

    A target may send a late second answer to an earlier request.
    """
    await connection.read_response(receiver)
    while receiver.answer.stale and not (receiver.ended or stream.closed()):
        receiver.answer.stale = False
        following = open_connection(stream, stream.settings)
        following.finish()
        await following.read_response(receiver)
