"""The configuration that scenarios start from."""

import hashlib
from types import MappingProxyType

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.templates import (
    AccountParameters,
    Bounds,
    Idempotency,
    RouteRule,
    Template,
)
from hillfield.emulator import CallKind
from scenarios.fleet import SERVICE

ACCOUNT = 'corner-shop'
SECRET = 'for-scenarios-only'
ROUTES = (
    RouteRule('lookup', ('GET',), '/lookups/{number}'),
    RouteRule('capture', ('POST',), '/captures', Idempotency.NEVER),
)
TEMPLATE = Template(
    SERVICE,
    ROUTES,
    deadline=2,
    floor=0.5,
    retry_budget=0.2,
    slow_start=0.2,
    account_parameters=AccountParameters(deadline=Bounds(0.1, 30)),
)
LOOKUP = CallKind(SERVICE, 'GET', '/lookups/7', idempotent=True)
CAPTURE = CallKind(SERVICE, 'POST', '/captures', idempotent=False)
KINDS = MappingProxyType(
    {
        'lookups': (LOOKUP,),
        'captures': (CAPTURE,),
        'requests': (LOOKUP, CAPTURE),
    }
)


def make_configuration(
    template: Template = TEMPLATE,
    deadline: float | None = None,
) -> Configuration:
    """Return a template with one account that may use it."""
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    account = ClientAccount(
        ACCOUNT, (digest,), (ServiceUse(SERVICE, deadline),)
    )
    return Configuration((template,), (account,))
