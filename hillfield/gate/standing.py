"""Judge the host's target by how its last requests ended; pure.

The test is Wald's sequential one: each end adds the logarithm of how much
likelier it is at a sick target than at a well one. The score never falls
below 0, so that a long good time doesn't hide a sudden sickness.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import log
from types import MappingProxyType
from typing import Final

from hillfield.model import RequestPlan, Urgency


class Ending(StrEnum):
    """Name how a request at the target ended, as far as it tells.

    `BROKEN` lost its connection or its framing, `FAILED` answered with an
    error, `HUNG` took far longer than requests do there, `UNREACHED` let no
    connection be made; `SILENT` says nothing of the target.
    """

    GOOD = 'good'
    FAILED = 'failed'
    BROKEN = 'broken'
    HUNG = 'hung'
    UNREACHED = 'unreached'
    SILENT = 'silent'


# Share of requests that fail at a sick target: 45 to 85 in 100 (site files
# of the two installations).
SICK_RATE: Final = 0.6
# Shares at a well one, from calm days of the two installations: some 2 in
# 100 answers are errors, mostly of calls that the target made; a broken
# connection is far rarer.
ERROR_RATE: Final = 0.03
BREAK_RATE: Final = 0.004
HANG_RATE: Final = 0.02
SCORES: Final[Mapping[Ending, float]] = MappingProxyType(
    {
        Ending.GOOD: log((1 - SICK_RATE) / (1 - ERROR_RATE)),
        Ending.FAILED: log(SICK_RATE / ERROR_RATE),
        Ending.BROKEN: log(SICK_RATE / BREAK_RATE),
        Ending.HUNG: log(SICK_RATE / HANG_RATE),
    },
)
# One broken connection, or two errors in a row.
SICK_SCORE: Final = 4.5
MOST_SCORE: Final = 5.1
# The score at which a shunned target is believed to be well again: after four
# good answers in a row, of which a sick one gives 3 in 100 tries.
WELL_SCORE: Final = 1.6
# Seconds between trials of a shunned target until one succeeds; twice as long
# after each that fails. Each costs a repeat: eight sick targets that were
# tried each 0.15 s used up what a fleet of 21 hosts may repeat.
TRIAL_EVERY: Final = 0.15
RAREST_TRIAL: Final = 1.0
# Odds of work that runs once at a shunned target: those assumed at first, what
# one more ending moves them, and those at which it is risked when no other
# target takes it. Targets that reset 40 in 100 still serve, those that reset
# 85 in 100 hardly (the users' installations have both).
FIRST_ODDS: Final = 0.25
ODDS_GAIN: Final = 0.3
FAIR_ODDS: Final = 0.4
# Odds down to which it is risked when no target has taken it for long: below,
# being told that it has not run serves its caller better.
POOR_ODDS: Final = 0.2
# Seconds after which a shunned target that nothing tried is tried by what may
# run again but has no repeat left, and by any request; sickness lasts about
# 5 s on the users' installations.
LONG_SHUN: Final = 0.5
LONGEST_SHUN: Final = 3.0


@dataclass(slots=True)
class Standing:
    """Keep the score of one life of a target; times are seconds.

    `reached` says that the target let connections be made at last, `streak`
    how many trials have succeeded in a row: so many more may run at once,
    `pause` the seconds between two trials, `odds` the share of what was let
    through meanwhile that ended well, the latest weighing most, `ages` the
    sum of what the ages of requests without an answer have added, `by_age`
    that nothing else has convicted the target.
    """

    score: float = 0
    shunned: bool = False
    reached: bool = True
    since: float = 0
    tried: float = float('-inf')
    trials: int = 0
    streak: int = 0
    pause: float = TRIAL_EVERY
    odds: float = FIRST_ODDS
    ages: float = 0
    by_age: bool = False

    def note(
        self,
        now: float,
        ending: Ending,
        weight: float | None = None,
    ) -> bool:
        """Count the end of a request; return whether the verdict changed.

        `weight` is for an end whose weight is not always the same.
        """
        if ending is Ending.SILENT:
            return False
        self.reached = ending is not Ending.UNREACHED
        self._pace_trials(ending)
        self._weigh_ages(ending, weight or 0)
        if self.reached:
            gain = SCORES[ending] if weight is None else weight
            score = self.score + gain
            self.score = min(MOST_SCORE, max(0, score))
        else:
            self.score = MOST_SCORE
        return self._judge(now)

    def take_back(self, now: float, weight: float) -> bool:
        """Drop the weight of an age: its request was answered after all.

        This guards against a crowd: requests that wait for their calls or for
        a busy target grow old like those that hang, and a verdict that rests
        on them would take slots away when they are short. Return whether the
        verdict fell with it.
        """
        self.ages = max(0, self.ages - weight)
        if not self.shunned:
            self.score = max(0, self.score - weight)
            return False
        if self.by_age:
            self.score = min(self.score, self.ages)
        return self._judge(now)

    def admits(self, now: float, plan: RequestPlan) -> bool:
        """Tell whether a request may go to the target now."""
        if not self.shunned:
            return True
        insists = plan.urgency >= Urgency.INSISTS
        if insists and self.reached and self._is_worth(plan):
            return True
        if self.trials > self.streak:
            return False
        if plan.trial:
            return self.wants_trial(now)
        wait = LONG_SHUN if plan.idempotent else LONGEST_SHUN
        return now - max(self.since, self.tried) >= wait

    def wants_trial(self, now: float) -> bool:
        """Tell whether a trial of a shunned target may begin now."""
        if self.trials > self.streak:
            return False
        return bool(self.streak) or now - self.tried >= self.pause

    def begin(self, now: float) -> None:
        """Note that a request was let through."""
        if self.shunned:
            self.tried = now
            self.trials += 1

    def end(self) -> None:
        """Note that a request that was let through has ended."""
        self.trials = max(0, self.trials - 1)

    def _is_worth(self, plan: RequestPlan) -> bool:
        """Tell whether a request that insists should be risked."""
        presses = plan.urgency is Urgency.PRESSES
        least = POOR_ODDS if presses else FAIR_ODDS
        return plan.idempotent or self.odds >= least

    def _pace_trials(self, ending: Ending) -> None:
        good = ending is Ending.GOOD
        self.odds += ODDS_GAIN * (good - self.odds)
        if good:
            self.streak += 1
            self.pause = TRIAL_EVERY
            return
        self.streak = 0
        if self.shunned:
            self.pause = min(RAREST_TRIAL, 2 * self.pause)

    def _weigh_ages(self, ending: Ending, weight: float) -> None:
        """Keep apart what rests on ages alone."""
        if ending is Ending.HUNG:
            self.ages += weight
            self.by_age |= not self.shunned
        elif ending is not Ending.GOOD:
            self.by_age = False

    def _judge(self, now: float) -> bool:
        was = self.shunned
        bound = WELL_SCORE if was else SICK_SCORE
        self.shunned = self.score > bound
        if self.shunned is not was:
            self.since = now
            if was:
                self.ages = 0
            self.trials = 0
            self.streak = 0
            self.pause = TRIAL_EVERY
            self.odds = FIRST_ODDS
        return self.shunned is not was
