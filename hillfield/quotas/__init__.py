"""Rate limits of client accounts, enforced over all nodes together.

One of the live nodes is the counter of each account. The other nodes report to
it how many requests they have let through; where an account comes near its
limit, it answers with the share of requests that may pass. No message precedes
a request, so a request under the limit is not delayed.
"""

from hillfield.quotas.counting import UseCounter
from hillfield.quotas.local import LocalUse
from hillfield.quotas.membership import Membership
from hillfield.quotas.messages import QuotaCodec, ShareRow, UseRow

__all__ = (
    'LocalUse',
    'Membership',
    'QuotaCodec',
    'ShareRow',
    'UseCounter',
    'UseRow',
)
