"""Calls from the command line to nodes' control addresses."""

from contextlib import closing
from http import HTTPStatus
from typing import Any, Final, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, Struct, ValidationError, convert
from msgspec.json import decode
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from hillfield.control.pages import ErrorPage
from hillfield.model import Address

Page = TypeVar('Page')

CALL_SECONDS: Final = 5
MAXIMUM_ANSWER: Final = 67108864
LONGEST_SHOWN: Final = 400
# tornado's code for a call that got no answer.
NO_ANSWER: Final = 599


class NodeCallError(Struct, frozen=True):
    """Say at which step the call to a node failed, and why.

    `status` is the HTTP status of a refusal, 0 when no answer came.
    """

    step: str
    peer: Address
    status: int
    detail: str

    def __str__(self) -> str:
        """Return the line shown to people."""
        return f'{self.peer}: {self.step}: {self.detail}'


async def fetch_page(
    kind: type[Page],
    address: Address,
    path: str,
    seconds: float = CALL_SECONDS,
    method: str = 'GET',
) -> Result[Page, NodeCallError]:
    """Call a path of a node's control address for a page of this type."""
    fetched = await fetch_json(address, path, seconds, method)
    if fetched.is_error():
        return Error(fetched.error)
    try:
        return Ok(convert(fetched.ok, kind))
    except ValidationError as error:
        return Error(
            NodeCallError('decode', address, HTTPStatus.OK, str(error))
        )


async def fetch_json(
    address: Address,
    path: str,
    seconds: float = CALL_SECONDS,
    method: str = 'GET',
) -> Result[Any, NodeCallError]:
    """Call a path of a node's control address and decode its JSON."""
    request = HTTPRequest(
        f'http://{address}{path}',
        method,
        connect_timeout=seconds,
        request_timeout=seconds,
    )
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_body_size=MAXIMUM_ANSWER,
    )
    with closing(client):
        try:
            response = await client.fetch(request, raise_error=False)
        except OSError as error:
            return Error(NodeCallError('connect', address, 0, str(error)))
        except HTTPClientError as error:
            # No answer in time or a broken one; raised in spite of the flag.
            return Error(NodeCallError('answer', address, 0, error.message))
    return _read(address, response)


def _read(
    address: Address,
    response: HTTPResponse,
) -> Result[Any, NodeCallError]:
    if response.code != HTTPStatus.OK:
        return Error(explain_failure(address, response))
    try:
        return Ok(decode(response.body))
    except DecodeError as error:
        return Error(
            NodeCallError('decode', address, HTTPStatus.OK, str(error))
        )


def explain_failure(
    address: Address,
    response: HTTPResponse,
) -> NodeCallError:
    """Return the error of an answer that is no page."""
    timed_out = response.code == NO_ANSWER
    return NodeCallError(
        'connect' if timed_out else 'answer',
        address,
        0 if timed_out else response.code,
        _read_detail(response),
    )


def _read_detail(response: HTTPResponse) -> str:
    try:
        page = decode(response.body, type=ErrorPage)
    except (DecodeError, ValidationError):
        text = response.body.decode('utf-8', 'replace').strip()
        found = text[:LONGEST_SHOWN] or str(response.error)
        if response.code == NO_ANSWER:
            return found
        return f"{found}; is this a node's control address?"
    return '; '.join(
        f'{problem.field}: found {problem.found}: {problem.fix}'
        for problem in page.problems
    )
