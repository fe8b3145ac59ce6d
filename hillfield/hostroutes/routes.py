"""Routes, looked up by host and longest path prefix."""

from random import Random
from typing import Final

from msgspec import Struct

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.model import normalize_authority

SLASH: Final = '/'


class SplitPart(Struct, frozen=True):
    """Send a share of a route's requests to a service.

    `weight` is relative to those of the route's other parts.
    """

    service: str
    weight: float = 1


class HostRoute(Struct, frozen=True):
    """Hold how requests to one host under one path prefix are treated.

    `prefix` begins and ends with a slash. `timeout` is the most time that a
    request may take, `aim` the time within which its answer has the most
    value, both in seconds. `attempts` is how many targets may be tried,
    `priority` the rank among waiting requests (0 goes first). Callers of a
    `public` route need no key.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[SplitPart, ...]
    idempotent: bool
    timeout: float
    attempts: int = 1
    priority: int = 0
    aim: float = 0
    public: bool = False

    def draw_service(self, random: Random) -> str:
        """Choose a service at random by the weights of the parts."""
        if len(self.parts) == 1:
            return self.parts[0].service
        weights = [part.weight for part in self.parts]
        return random.choices(self.parts, weights)[0].service


class RouteLimits(Struct, frozen=True):
    """Limits of requests; sizes in bytes, times in seconds."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class RouteTable(Struct, frozen=True):
    """Hold one version of all routes and of the accounts that may use them.

    Without `accounts` callers need no key.
    """

    version: int
    routes: tuple[HostRoute, ...] = ()
    limits: RouteLimits | None = None
    accounts: tuple[FleetAccount, ...] | None = None

    def services(self) -> tuple[str, ...]:
        """Return the services that some route leads to, sorted."""
        named = {part.service for route in self.routes for part in route.parts}
        return tuple(sorted(named))


class RouteIndex:
    """Look up the route of a request and the account of a key.

    >>> route = HostRoute('r', 'till.example', '/a/', (), True, 1)
    >>> index = RouteIndex(RouteTable(1, (route,)))
    >>> index.find('TILL.example:80', '/a/b?c').name
    'r'
    >>> index.find('till.example', '/ab') is None
    True
    """

    def __init__(self, table: RouteTable) -> None:
        """Index a table."""
        self.table = table
        self._hosts: dict[str, dict[str, HostRoute]] = {}
        for route in table.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self._accounts = {
            known: account
            for account in table.accounts or ()
            for known in account.secret_hashes
        }

    def find_account(self, key: str) -> FleetAccount | None:
        """Return the account of a key.

        Hashes are compared, so that the time of the lookup does not depend on
        how much of the key is right.
        """
        return self._accounts.get(hash_secret(key)) if key else None

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of the path."""
        prefixes = self._hosts.get(normalize_authority(host))
        if prefixes is None:
            return None
        rest = path.partition('?')[0]
        while rest:
            rest = rest[: rest.rfind(SLASH) + 1]
            found = prefixes.get(rest)
            if found is not None:
                return found
            rest = rest[:-1]
        return None
