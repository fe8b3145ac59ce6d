"""Make configurations of any size, to measure with."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from msgspec import Struct

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.configuration.schema.templates import (
    AccountParameters,
    Bounds,
    Idempotency,
    RouteRule,
    Template,
)
from hillfield.configuration.storage.keys import Keys
from hillfield.configuration.storage.payloads import encode_stored
from hillfield.configuration.storage.stored import (
    SCHEMA,
    Stamp,
    StoredBucket,
    StoredTemplate,
)
from hillfield.proxy.ports import RequestHead

DEADLINES: Final = (1, 1.5, 2, 3)
STAMPS: Final = 8
CHANGE_DIGITS: Final = 16


class SampleSize(Struct, frozen=True):
    """Say how much there is; `routes` are spread over the templates."""

    accounts: int = 59000
    templates: int = 260
    routes: int = 4300


class Sample(Struct, frozen=True):
    """Make the entries of one size, always the same.

    Every second route has a parameter; each account uses two services and
    fills in one deadline.
    """

    size: SampleSize
    keys: Keys = Keys('sample')

    def make_templates(self) -> Iterator[Entry]:
        """Yield the entries of templates."""
        for number in range(self.size.templates):
            template = self.make_template(number)
            stored = StoredTemplate(SCHEMA, (_make_stamp(0),), template)
            key = self.keys.template(template.service)
            yield Entry(key, number + 1, encode_stored(stored))

    def make_buckets(self) -> Iterator[Entry]:
        """Yield the entries of account buckets."""
        buckets: defaultdict[str, list[str]] = defaultdict(list)
        for number in range(self.size.accounts):
            name = name_account(number)
            buckets[self.keys.account(name)].append(name)
        for key, names in buckets.items():
            accounts = {name: self.make_account(name) for name in names}
            stamps = tuple(map(_make_stamp, range(STAMPS)))
            stored = StoredBucket(SCHEMA, stamps, accounts)
            yield Entry(key, self.size.templates + 1, encode_stored(stored))

    def make_template(self, number: int) -> Template:
        """Return a template with its share of the routes."""
        first = number * self.size.routes // self.size.templates
        last = (number + 1) * self.size.routes // self.size.templates
        return Template(
            service=f'service-{number}',
            route=tuple(
                _make_route(number, each) for each in range(first, last)
            ),
            deadline=2,
            hedge_after=1,
            account_parameters=AccountParameters(deadline=Bounds(1, 5)),
        )

    def make_account(self, name: str) -> ClientAccount:
        """Return an account; its secret is its name."""
        number = int(name.rpartition('-')[2])
        deadline = DEADLINES[number % len(DEADLINES)]
        first = number % self.size.templates
        second = (number + 1) % self.size.templates
        return ClientAccount(
            name,
            (hash_secret(name),),
            (
                ServiceUse(f'service-{first}', deadline=deadline),
                ServiceUse(f'service-{second}'),
            ),
        )

    def make_head(self, number: int) -> RequestHead:
        """Return a request of an account to a route that it may use."""
        account = name_account(number % self.size.accounts)
        service = int(account.rpartition('-')[2]) % self.size.templates
        first = service * self.size.routes // self.size.templates
        rule = _make_route(service, first)
        path = rule.path.replace('{item}', '17')
        return RequestHead(rule.methods[0], path, account, account)


def name_account(number: int) -> str:
    """Return the name of an account."""
    return f'member-shop-{number}'


def _make_route(service: int, number: int) -> RouteRule:
    if number % 2:
        path = f'/area-{service}/things-{number}/{{item}}'
        return RouteRule(f'thing-{number}', ('GET',), path)
    path = f'/area-{service}/orders-{number}'
    return RouteRule(f'order-{number}', ('POST',), path, Idempotency.NEVER)


def _make_stamp(number: int) -> Stamp:
    change = hash_secret(str(number))[:CHANGE_DIGITS]
    return Stamp(change, 'operator', number, '', (name_account(number),))
