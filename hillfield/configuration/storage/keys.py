"""Where the configuration lies in the store."""

from typing import Final

from msgspec import Struct
from xxhash import xxh32_intdigest

ACCOUNT_BUCKETS: Final = 1024
HISTORY_SEGMENTS: Final = 64
TEMPLATES: Final = 'templates'
ACCOUNTS: Final = 'accounts'


def bucket_of(account: str) -> int:
    """Return the bucket of an account.

    >>> 0 <= bucket_of('bakery') < ACCOUNT_BUCKETS
    True
    """
    return xxh32_intdigest(_encode(account)) % ACCOUNT_BUCKETS


def _encode(name: str) -> bytes:
    # Credentials of a hostile caller may hold lone surrogates.
    return name.encode('utf-8', 'surrogatepass')


class Keys(Struct, frozen=True):
    """Name the keys of one cluster.

    >>> Keys('north').template('claims')
    '/hillfield/north/templates/claims'
    >>> Keys('north').bucket(7)
    '/hillfield/north/accounts/0007'
    """

    cluster: str

    @property
    def prefix(self) -> str:
        """Return what all keys of the cluster start with."""
        return f'/hillfield/{self.cluster}/'

    @property
    def templates(self) -> str:
        """Return what the keys of templates start with."""
        return '{0}{1}/'.format(self.prefix, TEMPLATES)

    @property
    def accounts(self) -> str:
        """Return what the keys of account buckets start with."""
        return '{0}{1}/'.format(self.prefix, ACCOUNTS)

    @property
    def changes(self) -> str:
        """Return what the keys of the history start with."""
        return f'{self.prefix}changes/'

    @property
    def template_changes(self) -> str:
        """Return the key of the history of templates."""
        return f'{self.changes}templates'

    def template(self, service: str) -> str:
        """Return the key of a service's template."""
        return f'{self.templates}{service}'

    def bucket(self, number: int) -> str:
        """Return the key of an account bucket."""
        return '{0}{1:04}'.format(self.accounts, number)

    def account(self, name: str) -> str:
        """Return the key of the bucket that holds an account."""
        return self.bucket(bucket_of(name))

    def change(self, change: str) -> str:
        """Return the history segment of a change of accounts only."""
        number = xxh32_intdigest(_encode(change)) % HISTORY_SEGMENTS
        return '{0}{1:02}'.format(self.changes, number)

    def holds_template(self, key: str) -> bool:
        """Say whether the key is a template's."""
        return key.startswith(self.templates)

    def holds_bucket(self, key: str) -> bool:
        """Say whether the key is an account bucket's."""
        return key.startswith(self.accounts)

    def holds_configuration(self, key: str) -> bool:
        """Say whether nodes hold and spread this key."""
        return self.holds_template(key) or self.holds_bucket(key)
