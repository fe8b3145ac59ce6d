"""Routes by host and the longest prefix of the path."""

from random import Random
from typing import Final

from msgspec import Struct

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.configuration.schema.credentials import hash_secret

SLASH: Final = '/'


class SplitPart(Struct, frozen=True):
    """Send a share of a route's requests to a service.

    `weight` is relative to those of the route's other parts.
    """

    service: str
    weight: float = 1


class HostRoute(Struct, frozen=True):
    """Say how the requests of one host under one prefix are treated.

    `prefix` begins and ends with a slash. `timeout` is the longest time that
    a request may take, `aim` the time in which an answer is worth most, both
    in seconds; `attempts` how many targets may be asked, `priority` the rank
    among requests that wait (0 goes first). Callers of a `public` route need
    not say who they are.
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
        """Draw the service of one request by the weights of the parts."""
        if len(self.parts) == 1:
            return self.parts[0].service
        weights = [part.weight for part in self.parts]
        return random.choices(self.parts, weights)[0].service


class RouteLimits(Struct, frozen=True):
    """Bound what callers send; sizes in bytes, times in seconds."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class RouteTable(Struct, frozen=True):
    """Hold one version of all routes, and of who may use them.

    Without `accounts` callers need not say who they are.
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
    """Find the route of a request, and the account of a key.

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
        """Return the account that holds a key.

        Hashes are looked up, so the time taken tells nothing of the key.
        """
        return self._accounts.get(hash_secret(key)) if key else None

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of the path."""
        prefixes = self._hosts.get(host.partition(':')[0].lower())
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
