"""What the other parts of a node see of the configuration."""

from expression import Error, Ok, Result

from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.credentials import verify_secret
from hillfield.configuration.schema.templates import derive_policy
from hillfield.configuration.serving.clamps import ClampReporter
from hillfield.configuration.serving.directory import AccountDirectory
from hillfield.configuration.serving.planning import make_plan
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.serving.request_failures import (
    refuse_caller,
    refuse_method,
    refuse_missing,
    refuse_route,
    refuse_service,
)
from hillfield.configuration.serving.routes import NoRoute
from hillfield.events import EventCode, Journal
from hillfield.model import RequestFailure, RequestPlan, ServicePolicy, Step
from hillfield.proxy.ports import RequestHead


class ConfigurationView:
    """Resolve requests and policies from the newest entries.

    Nothing has to be told of changes: each call sees the replica as it is.
    """

    def __init__(
        self,
        replica: Replica,
        journal: Journal | None = None,
    ) -> None:
        """Look into a replica; without a journal nothing is recorded."""
        self._replica = replica
        self._accounts = AccountDirectory(
            replica,
            ClampReporter(replica.templates, journal),
        )

    @property
    def generation(self) -> int:
        """Return a number that grows when any template changes."""
        return self._replica.templates.generation

    def resolve(
        self,
        head: RequestHead,
    ) -> Result[RequestPlan, RequestFailure]:
        """Return the plan, or the failure to answer with (not run)."""
        account = self._authenticate(head)
        if isinstance(account, RequestFailure):
            return Error(account)
        route = self._replica.templates.find_route(head.method, head.path)
        if isinstance(route, NoRoute):
            return Error(self._refuse_route(head, route))
        use = account.find_use(route.template.service)
        if use is None:
            service = route.template.service
            return Error(refuse_service(account.name, service))
        return Ok(make_plan(route, use, head))

    def policy(self, service: str) -> ServicePolicy | None:
        """Return how a service's traffic is treated, if it has a template."""
        template = self._replica.templates.find(service)
        return None if template is None else derive_policy(template)

    def services(self) -> tuple[str, ...]:
        """Return the services that have a template, sorted."""
        return self._replica.templates.services()

    def _authenticate(
        self,
        head: RequestHead,
    ) -> ClientAccount | RequestFailure:
        if not head.account:
            return refuse_caller(
                EventCode.CREDENTIALS_MISSING,
                'send HTTP Basic credentials of a client account',
            )
        account = self._accounts.find(head.account)
        hashes = () if account is None else account.secret_hashes
        if verify_secret(head.secret, hashes) and account is not None:
            return account
        if account is None and self._may_be_elsewhere(head.account):
            return refuse_missing(Step.AUTHENTICATE)
        return refuse_caller(
            EventCode.CREDENTIALS_REFUSED,
            'the account is unknown or its secret is wrong',
        )

    def _may_be_elsewhere(self, account: str) -> bool:
        if self._replica.complete:
            return False
        return not self._accounts.holds_bucket_of(account)

    def _refuse_route(
        self,
        head: RequestHead,
        missing: NoRoute,
    ) -> RequestFailure:
        if not self._replica.complete:
            return refuse_missing(Step.ROUTE)
        if missing.methods:
            return refuse_method(head.method, missing.methods)
        return refuse_route(head.path)
