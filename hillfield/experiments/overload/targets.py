"""What the targets of a trial are like, and the configuration for them."""

from typing import Final

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.configuration.schema.templates import (
    Idempotency,
    RouteRule,
    Template,
)
from hillfield.demo.layout import HostPlan
from hillfield.emulator import EmulatedTarget, ServiceTime, TargetSettings
from hillfield.experiments.overload.requests import ACCOUNTS, GREEDY, SECRET
from hillfield.model import Address

SERVICE: Final = 'settlement'
# Slots and connection limits of the two kinds of targets at each host.
KINDS: Final = ((4, 300), (3, 400))
MEDIAN: Final = 0.05
SPREAD: Final = 0.2
TIMING: Final = ServiceTime(MEDIAN, SPREAD)
ENDLESS: Final = 100_000
SLOW_START: Final = 0.2


def make_targets(host: HostPlan, *, sheds: bool) -> tuple[EmulatedTarget, ...]:
    """Return a host's targets; one that doesn't shed lets requests wait."""
    return tuple(
        EmulatedTarget(
            TargetSettings(
                SERVICE,
                Address(host.callers.ip, 0),
                host.control,
                slots,
                connections,
                queue=0 if sheds else ENDLESS,
                timing=TIMING,
            ),
        )
        for slots, connections in KINDS
    )


def find_capacity(targets: tuple[EmulatedTarget, ...]) -> float:
    """Return the requests a second that the targets can answer."""
    slots = sum(target.settings.slots for target in targets)
    # The mean of a lognormal lies above its median.
    mean = TIMING.median * (1 + TIMING.sigma * TIMING.sigma / 2)
    return slots / mean


def make_configuration(deadline: float) -> Configuration:
    """Return one service that all accounts of the load may use."""
    routes = (
        RouteRule('lookup', ('GET',), '/lookups'),
        RouteRule('order', ('POST',), '/orders', Idempotency.NEVER),
    )
    accounts = tuple(
        ClientAccount(name, (hash_secret(SECRET),), (ServiceUse(SERVICE),))
        for name in (*ACCOUNTS, GREEDY)
    )
    template = Template(SERVICE, routes, deadline, slow_start=SLOW_START)
    return Configuration((template,), accounts)
