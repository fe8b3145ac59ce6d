"""Request-specific bytes, so that a mix-up of answers shows."""

from typing import Final

REQUEST_HEADER: Final = 'X-Request-Id'
TOKEN_HEADER: Final = 'X-Emulator-Token'  # noqa: S105  # no secret
LENGTH_HEADER: Final = 'X-Emulator-Length'
OUTCOME_HEADER: Final = 'Hillfield-Outcome'
DEADLINE_HEADER: Final = 'X-Deadline-Ms'
PREFIX: Final = b'answer '


def fill_answer(token: str, length: int) -> bytes:
    r"""Return the one right answer to the request with this token.

    >>> fill_answer('ab', 14)
    b'answer ab\nab\na'
    """
    line = f'{token}\n'.encode()
    wanted = max(length - len(PREFIX), len(line))
    repeats = wanted // len(line) + 1
    return PREFIX + (line * repeats)[:wanted]


def fill_request(token: str, length: int) -> bytes:
    r"""Return a request body that starts with the token's line.

    >>> fill_request('ab', 6)
    b'ab\n...'
    """
    line = f'{token}\n'.encode()
    return line + b'.' * max(0, length - len(line))


def read_token(header: str, body: bytes) -> str:
    r"""Return the token as the body carries it, else the header's.

    >>> read_token('a', b'b\n...'), read_token('a', b'')
    ('b', 'a')
    """
    if not body:
        return header
    first, _, _ = body.partition(b'\n')
    return first.decode('ascii', 'replace')
