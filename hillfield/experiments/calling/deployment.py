"""What is deployed and asked for; times are seconds, sizes bytes."""

import tomllib
from importlib.resources import files
from typing import Final

from msgspec import Struct, convert

from hillfield.model import UNBOUNDED, RepeatBound, RepeatKind, RequestPlan

ATTEMPTS: Final = 2
# Part of the answers of a well target that are errors (site files).
ERRORS: Final = 0.012
USUAL_ANSWER: Final = 500


class Kind(Struct, frozen=True):
    """Describe a kind of request.

    `rate` is how many come a second in all domains (0: only calls), `work`
    and `spread` the mean of its work and the deviation of its logarithm,
    `calls` the kind that its work calls, so many times, in `share` of the runs,
    `begins` when its route is added (0: there from the start), `repeat` says
    that it is called by a repeated run.
    """

    route: str
    service: str
    aim: float
    deadline: float
    priority: int
    work: float
    spread: float
    idempotent: bool = False
    rate: float = 0
    calls: str = ''
    times: int = 0
    share: float = 0
    request_size: int = 0
    answer_size: int = USUAL_ANSWER
    worth: float = 0
    errors: float = ERRORS
    begins: float = 0
    repeat: RepeatKind | None = None

    @property
    def plan(self) -> RequestPlan:
        """Return how a node treats such requests."""
        return RequestPlan(
            self.service,
            self.route,
            '',
            self.idempotent,
            self.deadline,
            maximum_attempts=ATTEMPTS,
            aim=self.aim,
            priority=self.priority,
            repeat=self.repeat,
        )


class Spells(Struct, frozen=True):
    """Say how targets are sick, in some stretches: most of what they get.

    They never answer a part of it, and reset the connections of another.
    """

    stretch: float
    share: float
    hangs: float
    resets: float = 0


class Burst(Struct, frozen=True):
    """Say by what factor the usual rates are exceeded between two moments."""

    factor: float = 1
    begin: float = 0
    end: float = 0


class Need(Struct, frozen=True):
    """Say how many targets of a service name a limit between two moments.

    `rate` is the requests a second that each of them takes.
    """

    service: str
    targets: int
    rate: float
    begin: float
    end: float


class Deployment(Struct, frozen=True):
    """Hold services, kinds of requests, and how targets behave.

    `targets` is how many a service has in each domain.
    """

    kinds: tuple[Kind, ...]
    targets: dict[str, tuple[int, ...]]
    slots: int
    spells: Spells
    burst: Burst = Burst()
    need: Need | None = None
    bound: RepeatBound = UNBOUNDED


def read_deployment(name: str) -> Deployment:
    """Read a deployment that comes with the package."""
    path = files('hillfield.experiments.calling') / f'{name}.toml'
    return convert(tomllib.loads(path.read_text()), Deployment)


CLAIMS: Final = read_deployment('claims')
