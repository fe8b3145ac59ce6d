"""Rate limits of client accounts, enforced over all nodes together.

One of the live nodes is the counter of each account. The other nodes report to
it how many requests they have let through; where an account comes near its
limit, it answers with the share of requests that may pass. No message precedes
a request, so a request under the limit is not delayed.
"""

from hillfield.quotas.counting import UsageCounter
from hillfield.quotas.local import LocalUsage
from hillfield.quotas.membership import Membership
from hillfield.quotas.messages import QuotaCodec, ShareRow, UsageRow

__all__ = (
    'LocalUsage',
    'Membership',
    'QuotaCodec',
    'ShareRow',
    'UsageCounter',
    'UsageRow',
)
