"""Both users' callers, as the examples' client accounts name them."""

import tomllib
from asyncio import gather
from itertools import chain
from pathlib import Path
from typing import Final

import msgspec
from expression import Error, Ok, Result

from hillfield.configuration.documents.files import (
    SECRETS_FILE,
    Configuration,
    read_configuration,
)
from hillfield.demo.layout import Layout
from hillfield.emulator import (
    Call,
    Caller,
    CallerSettings,
    CallKind,
    Credentials,
)

# Detection needs some requests to each target; the files give calm rates.
BUSY: Final = 3


class Customer(msgspec.Struct, frozen=True):
    """Describe one client account's load; `rate` is requests a second."""

    account: str
    secret: str
    rate: float
    kind: tuple[CallKind, ...]


class Example(msgspec.Struct, frozen=True):
    """Hold a configuration and the customers that call under it."""

    configuration: Configuration
    customers: tuple[Customer, ...]


def read_customers(path: Path) -> tuple[Customer, ...]:
    """Return the customers of one file."""
    customers = tomllib.loads(path.read_text('utf-8'))['caller']
    return msgspec.convert(customers, tuple[Customer, ...])


def read_example(folder: Path) -> Result[Example, str]:
    """Return both users' configuration and customers."""
    configuration = read_configuration(folder)
    if configuration.is_error():
        return Error('; '.join(map(str, configuration.error)))
    files = sorted(folder.rglob(SECRETS_FILE))
    customers = chain.from_iterable(map(read_customers, files))
    return Ok(Example(configuration.ok, tuple(customers)))


def make_callers(
    layout: Layout,
    customers: tuple[Customer, ...],
    seconds: float,
) -> tuple[Caller, ...]:
    """Return a caller per customer that calls all nodes alike."""
    nodes = tuple(host.callers for host in layout.hosts)
    return tuple(
        Caller(
            CallerSettings(
                nodes,
                customer.kind,
                rate=customer.rate * BUSY,
                seconds=seconds,
                prefix=customer.account,
                credentials=Credentials(customer.account, customer.secret),
            ),
        )
        for customer in customers
    )


async def run_callers(callers: tuple[Caller, ...]) -> tuple[Call, ...]:
    """Run all callers at once and return all their calls."""
    calls = await gather(*(caller.run() for caller in callers))
    return tuple(chain.from_iterable(calls))
