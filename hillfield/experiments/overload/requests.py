"""Requests of a load as they go over the wire, drawn from a seed."""

from base64 import b64encode
from collections.abc import Iterator
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.experiments.overload.plans import LoadPlan
from hillfield.model import Address

GREEDY: Final = 'greedy'
SECRET: Final = 'for-trials-only'  # noqa: S105  # of a local trial
ACCOUNTS: Final = ('shop-1', 'shop-2', 'shop-3', 'shop-4')
HALF: Final = 0.5
ANSWER_LENGTH: Final = 64
BODY: Final = b'm' * ANSWER_LENGTH


class Sample(Struct, frozen=True):
    """Hold one request; `offset` is seconds from the load's start."""

    offset: float
    node: Address
    message: bytes
    idempotent: bool
    greedy: bool


def draw_samples(plan: LoadPlan) -> Iterator[Sample]:
    """Yield a Poisson process of requests, the same for the same seed."""
    source = Random(plan.seed)
    offset = source.expovariate(plan.rate)
    while offset < plan.seconds:
        greedy = source.random() < plan.greedy
        account = GREEDY if greedy else source.choice(ACCOUNTS)
        idempotent = source.random() < HALF
        yield Sample(
            offset,
            source.choice(plan.nodes),
            render_request(account, idempotent=idempotent),
            idempotent,
            greedy,
        )
        offset += source.expovariate(plan.rate)


def render_request(account: str, *, idempotent: bool) -> bytes:
    """Return a request's bytes."""
    secret = b64encode(f'{account}:{SECRET}'.encode()).decode()
    fields = (
        'Host: trial\r\n'
        f'Authorization: Basic {secret}\r\n'
        f'X-Emulator-Length: {ANSWER_LENGTH}\r\n'
    )
    if idempotent:
        return f'GET /lookups HTTP/1.1\r\n{fields}\r\n'.encode()
    length = len(BODY)
    head = f'POST /orders HTTP/1.1\r\n{fields}Content-Length: {length}\r\n\r\n'
    return head.encode() + BODY
