"""Planning of requests by the routes in force at a node."""

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
from hillfield.gate.calls import Call
from hillfield.hostroutes.routes import HostRoute, RouteIndex, RouteTable
from hillfield.model import (
    AnswerChecks,
    RepeatKind,
    RequestFailure,
    RequestPlan,
    ServicePolicy,
    Step,
)
from hillfield.proxy.ports import RequestHead

# Number of priorities of routes within one priority of an account.
ROUTE_RANKS: Final = 1000
ANONYMOUS_ACCOUNT: Final = FleetAccount('', ())

TableReader = Callable[[bytes], Result[RouteTable, str]]
TableListener = Callable[[RouteTable], None]


class PlannerSettings(Struct, frozen=True):
    """Settings of requests that do not depend on their route.

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
    """Hold the version that added a route, and when this node adopted it.

    `since` is in monotonic seconds; None for the node's first table.
    """

    version: int
    since: float | None


class Quotas(Protocol):
    """Limits of the requests of accounts over all nodes together."""

    def adopt(self, accounts: tuple[FleetAccount, ...]) -> None:
        """Apply new limits."""

    def ask(self, account: FleetAccount) -> float:
        """Return 0 and count the request, or the seconds to wait."""


class HostRuns(Protocol):
    """Tell what the target of this host runs."""

    def record_call(self, now: float, call: Call) -> bool:
        """Record a request of this host; return if a repeated run made it."""


class NoRuns:
    """Know of no runs."""

    def record_call(self, now: float, call: Call) -> bool:
        """Return False."""
        return False


class NoQuotas:
    """Quotas without limits."""

    def adopt(self, accounts: tuple[FleetAccount, ...]) -> None:
        """Ignore limits."""

    def ask(self, account: FleetAccount) -> float:
        """Accept a request."""
        return 0


class HostPlanner:
    """Plan requests by the newest valid routes.

    Stores the entry of the routes for the fleet, which replicates it, and
    resolves requests for the request path. An entry that cannot be parsed
    leaves the routes in force unchanged.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        reader: TableReader,
        random: Random,
        journal: Journal,
    ) -> None:
        """Start without routes; `listener` is called with each new table.

        `quotas` must accept a request of an account before it is planned,
        `runs` tells which requests are calls of repeated runs.
        """
        self.generation = 0
        self.quotas: Quotas = NoQuotas()
        self.runs: HostRuns = NoRuns()
        self.listener: TableListener = _ignore_table
        self._settings = settings
        self._reader = reader
        self._random = random
        self._journal = journal
        self._entry: Entry | None = None
        self._index: RouteIndex | None = None
        self._adoptions: dict[str, RouteAdoption] = {}

    def adopt(self, entry: Entry) -> None:
        """Apply an entry unless a newer one of its key is held."""
        if not self.wants(entry.key, entry.revision):
            return
        read = self._reader(entry.payload)
        if read.is_error():
            detail = f'revision {entry.revision}: {read.error}'
            self._record(EventCode.CONFIGURATION_REFUSED, detail)
            return
        self._entry = entry
        self._record_adoptions(read.ok)
        self._index = RouteIndex(read.ok)
        self.generation += 1
        version = read.ok.version
        detail = f'version {version} at revision {entry.revision}'
        self._record(EventCode.CONFIGURATION_ADOPTED, detail)
        self.quotas.adopt(read.ok.accounts or ())
        self.listener(read.ok)

    def wants(self, key: str, revision: int) -> bool:
        """Return whether an entry of this revision would be adopted."""
        if key != self._settings.key:
            return False
        return self._entry is None or revision > self._entry.revision

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        if self._entry is not None and self._entry.key == key:
            return self._entry
        return None

    def mark_complete(self) -> None:
        """Do nothing, since one entry holds all routes."""

    def digest(self) -> Digest:
        """Return the digest of the entry in force."""
        entry = self._entry
        if entry is None:
            return Digest(0, (), 0, 0)
        root = hash_revision(entry.key, entry.revision)
        return Digest(root, (root,), 1, entry.revision)

    def resolve(
        self,
        head: RequestHead,
    ) -> Result[RequestPlan, RequestFailure]:
        """Return the plan, or the failure to answer with (outcome not run)."""
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
        keyless = index.table.accounts is not None
        return Ok(self._plan(route, account, head.request, keyless=keyless))

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy of a service, if a route leads there."""
        if service in self.services():
            return replace(self._settings.policy, service=service)
        return None

    def services(self) -> tuple[str, ...]:
        """Return the services that some route leads to, sorted."""
        return () if self._index is None else self._index.table.services()

    def _record_adoptions(self, table: RouteTable) -> None:
        """Record which routes of a table are new at this node."""
        since = None if self._index is None else monotonic()
        adoption = RouteAdoption(table.version, since)
        self._adoptions = {
            route.name: self._adoptions.get(route.name, adoption)
            for route in table.routes
        }

    def _plan(
        self,
        route: HostRoute,
        account: FleetAccount,
        request: str,
        *,
        keyless: bool,
    ) -> RequestPlan:
        settings = self._settings
        checks = settings.safe_checks if route.idempotent else settings.checks
        adoption = self._adoptions[route.name]
        service = route.draw_service(self._random)
        repeat = None
        if not account.name:
            call = Call(request, service, keyless)
            if self.runs.record_call(monotonic(), call):
                repeat = RepeatKind.CALL
        return RequestPlan(
            service,
            route.name,
            account.name,
            route.idempotent,
            route.timeout,
            maximum_attempts=route.attempts,
            checks=checks,
            priority=account.priority * ROUTE_RANKS + route.priority,
            origin=settings.origin,
            aim=route.aim,
            route_version=adoption.version,
            route_since=adoption.since,
            repeat=repeat,
        )

    def _record(self, code: EventCode, detail: str) -> None:
        self._journal.record(Occurrence(code, step='adopt', detail=detail))


def _identify(
    index: RouteIndex,
    route: HostRoute,
    head: RequestHead,
) -> FleetAccount | RequestFailure:
    """Return the account of a request; an anonymous one if none is needed."""
    if index.table.accounts is None:
        return ANONYMOUS_ACCOUNT
    # The key alone identifies an account: credentials with a name are no key.
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


def _ignore_table(table: RouteTable) -> None:
    """Do nothing: the default listener."""
