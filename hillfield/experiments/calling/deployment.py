"""What is deployed and asked for; times are seconds, sizes bytes."""

from dataclasses import dataclass
from typing import Final

from hillfield.model import RequestPlan


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe a kind of request.

    `rate` is how many come a second in all domains (0: only calls), `work`
    and `spread` the mean of its work and the deviation of its logarithm,
    `calls` the kind that its work calls, so many times, in `share` of the runs.
    """

    plan: RequestPlan
    work: float
    spread: float
    rate: float = 0
    calls: str = ''
    times: int = 0
    share: float = 0
    request_size: int = 0
    answer_size: int = 500
    worth: float = 0
    errors: float = 0.012


@dataclass(frozen=True, slots=True)
class Spells:
    """Say how targets hang: in some stretches, most of what they get."""

    stretch: float = 9.0
    share: float = 0.3
    hangs: float = 0.75


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold services, kinds of requests, and how targets behave.

    `targets` is how many a service has in each domain, `load` how much the
    usual rates are exceeded between two moments.
    """

    kinds: tuple[Kind, ...]
    targets: tuple[tuple[str, tuple[int, ...]], ...]
    slots: int = 5
    spells: Spells = Spells()
    load: tuple[float, float, float] = (1.0, 0, 0)


def _plan(
    service: str,
    route: str,
    *,
    idempotent: bool,
    aim: float,
    deadline: float,
    priority: int = 1,
) -> RequestPlan:
    return RequestPlan(
        service,
        route,
        '',
        idempotent,
        deadline,
        maximum_attempts=2,
        aim=aim,
        priority=priority,
    )


# Sizes, rates and works are those of the further customer's site file.
CLAIMS: Final = Deployment(
    kinds=(
        Kind(
            _plan(
                'policies',
                'policy-lookup',
                idempotent=True,
                aim=1.5,
                deadline=4,
                priority=2,
            ),
            0.57,
            0.8,
            rate=15.1,
            calls='claim-status',
            times=1,
            share=0.7,
            answer_size=400,
            worth=1,
        ),
        Kind(
            _plan(
                'claims',
                'loss-filing',
                idempotent=False,
                aim=1.5,
                deadline=5,
            ),
            0.43,
            0.8,
            rate=47.7,
            calls='payout-ledger',
            times=2,
            share=0.7,
            request_size=1200,
            answer_size=5000,
            worth=2,
        ),
        Kind(
            _plan(
                'payouts',
                'payout-approval',
                idempotent=False,
                aim=0.8,
                deadline=2.5,
                priority=0,
            ),
            0.3,
            0.3,
            rate=12.6,
            calls='assessor-roster',
            times=1,
            share=0.7,
            request_size=300,
            answer_size=5000,
            worth=3,
        ),
        Kind(
            _plan(
                'assessments',
                'visit-booking',
                idempotent=False,
                aim=1,
                deadline=3,
                priority=2,
            ),
            0.35,
            0.5,
            rate=4.18,
            answer_size=400,
            worth=1,
        ),
        Kind(
            _plan(
                'claims',
                'claim-status',
                idempotent=True,
                aim=0.4,
                deadline=1.5,
            ),
            0.11,
            0.5,
        ),
        Kind(
            _plan(
                'payouts',
                'payout-ledger',
                idempotent=True,
                aim=0.4,
                deadline=1.5,
            ),
            0.11,
            0.5,
        ),
        Kind(
            _plan(
                'assessments',
                'assessor-roster',
                idempotent=True,
                aim=0.4,
                deadline=1.5,
            ),
            0.11,
            0.5,
        ),
    ),
    targets=(
        ('claims', (5, 5, 2)),
        ('policies', (2, 2, 2)),
        ('payouts', (2, 2, 2)),
        ('assessments', (2, 2, 2)),
    ),
)
