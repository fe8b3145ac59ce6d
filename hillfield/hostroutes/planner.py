"""The routes in force at a node: adopted by revision, asked by request."""

from collections.abc import Callable
from random import Random
from typing import Final, Protocol

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.configuration.serving.digests import Digest, hash_revision
from hillfield.configuration.serving.request_failures import (
    refuse_caller,
    refuse_missing,
    refuse_quota,
    refuse_route,
)
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.hostroutes.routes import HostRoute, RouteIndex, RouteTable
from hillfield.model import (
    AnswerChecks,
    RequestFailure,
    RequestPlan,
    ServicePolicy,
    Step,
)
from hillfield.proxy.ports import RequestHead

# Ranks that routes may have below one rank of an account.
ROUTE_RANKS: Final = 1000
ANONYMOUS_ACCOUNT: Final = FleetAccount('', ())

TableReader = Callable[[bytes], Result[RouteTable, str]]
TableListener = Callable[[RouteTable], None]


class PlannerSettings(Struct, frozen=True):
    """Say how requests are treated beyond what their route tells.

    `key` is the store's key of the routes, `origin` the service on whose
    host this node is, `policy` how all services are treated, `checks` and
    `safe_checks` what makes an answer wrong for requests that may run once
    and for those that may run again.
    """

    key: str
    origin: str
    policy: ServicePolicy
    checks: AnswerChecks
    safe_checks: AnswerChecks


class RouteAdoption(Struct, frozen=True):
    """Say which version brought a route, and when this node adopted it.

    `since` is in monotonic seconds; None: with the node's first table.
    """

    version: int
    since: float | None


class Quotas(Protocol):
    """Bound what accounts send over all nodes together."""

    def adopt(self, accounts: tuple[FleetAccount, ...]) -> None:
        """Take new limits into force."""

    def ask(self, account: FleetAccount) -> float:
        """Return 0 and count the request, or the seconds to wait."""


class NoQuotas:
    """Let everything through."""

    def adopt(self, accounts: tuple[FleetAccount, ...]) -> None:
        """Take no limits."""

    def ask(self, account: FleetAccount) -> float:
        """Let a request through."""
        return 0


class HostPlanner:
    """Plan requests by the newest valid routes.

    Implements what the fleet needs to replicate the entry and what the
    request path needs to resolve requests. An entry that can't be read
    leaves the routes in force as they are.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        reader: TableReader,
        random: Random,
        journal: Journal,
    ) -> None:
        """Start without routes; `listener` is told of each new table.

        `quotas` is asked before a request of an account is planned.
        """
        self.generation = 0
        self.quotas: Quotas = NoQuotas()
        self.listener: TableListener = _tell_nobody
        self._settings = settings
        self._reader = reader
        self._random = random
        self._journal = journal
        self._entry: Entry | None = None
        self._index: RouteIndex | None = None
        self._births: dict[str, RouteAdoption] = {}

    def adopt(self, entry: Entry) -> None:
        """Take an entry unless a newer one of its key is held."""
        if not self.wants(entry.key, entry.revision):
            return
        read = self._reader(entry.payload)
        if read.is_error():
            detail = f'revision {entry.revision}: {read.error}'
            self._record(EventCode.CONFIGURATION_REFUSED, detail)
            return
        self._entry = entry
        self._note_births(read.ok)
        self._index = RouteIndex(read.ok)
        self.generation += 1
        version = read.ok.version
        detail = f'version {version} at revision {entry.revision}'
        self._record(EventCode.CONFIGURATION_ADOPTED, detail)
        self.quotas.adopt(read.ok.accounts or ())
        self.listener(read.ok)

    def wants(self, key: str, revision: int) -> bool:
        """Return whether such an entry would be news."""
        if key != self._settings.key:
            return False
        return self._entry is None or revision > self._entry.revision

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        if self._entry is not None and self._entry.key == key:
            return self._entry
        return None

    def mark_complete(self) -> None:
        """Need no mark: one entry holds all routes."""

    def digest(self) -> Digest:
        """Sum up what is held."""
        entry = self._entry
        if entry is None:
            return Digest(0, (), 0, 0)
        root = hash_revision(entry.key, entry.revision)
        return Digest(root, (root,), 1, entry.revision)

    def resolve(
        self,
        head: RequestHead,
    ) -> Result[RequestPlan, RequestFailure]:
        """Return the plan, or the failure to answer with (not run)."""
        index = self._index
        if index is None:
            return Error(refuse_missing(Step.ROUTE))
        route = index.find(head.host, head.path)
        if route is None:
            return Error(refuse_route(head.path))
        account = _identify(index, route, head)
        if isinstance(account, RequestFailure):
            return Error(account)
        wait = self.quotas.ask(account)
        if wait:
            return Error(refuse_quota(account.name, wait))
        return Ok(self._plan(route, account))

    def policy(self, service: str) -> ServicePolicy | None:
        """Return how a service's traffic is treated, if a route leads there."""
        if service in self.services():
            return replace(self._settings.policy, service=service)
        return None

    def services(self) -> tuple[str, ...]:
        """Return the services that some route leads to, sorted."""
        return () if self._index is None else self._index.table.services()

    def _note_births(self, table: RouteTable) -> None:
        """Note which routes a table brings that this node did not hold."""
        since = None if self._index is None else monotonic()
        birth = RouteAdoption(table.version, since)
        self._births = {
            route.name: self._births.get(route.name, birth)
            for route in table.routes
        }

    def _plan(self, route: HostRoute, account: FleetAccount) -> RequestPlan:
        settings = self._settings
        checks = settings.safe_checks if route.idempotent else settings.checks
        birth = self._births[route.name]
        return RequestPlan(
            route.draw_service(self._random),
            route.name,
            account.name,
            route.idempotent,
            route.timeout,
            maximum_attempts=route.attempts,
            checks=checks,
            priority=account.priority * ROUTE_RANKS + route.priority,
            origin=settings.origin,
            aim=route.aim,
            route_version=birth.version,
            route_since=birth.since,
        )

    def _record(self, code: EventCode, detail: str) -> None:
        self._journal.record(Occurrence(code, step='adopt', detail=detail))


def _identify(
    index: RouteIndex,
    route: HostRoute,
    head: RequestHead,
) -> FleetAccount | RequestFailure:
    """Return whose request it is; one without a name where none is needed."""
    if index.table.accounts is None:
        return ANONYMOUS_ACCOUNT
    # A key names its account by itself: one that came with a name is none.
    key = '' if head.account else head.secret
    account = index.find_account(key)
    if account is not None:
        return account
    if route.public:
        return ANONYMOUS_ACCOUNT
    if key:
        return refuse_caller(
            EventCode.CREDENTIALS_REFUSED,
            'no account holds this key',
        )
    return refuse_caller(EventCode.CREDENTIALS_MISSING, 'send a key')


def _tell_nobody(table: RouteTable) -> None:
    """Tell nobody: no one has asked yet."""
