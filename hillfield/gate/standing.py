"""Score the health of the host's target by the results of its requests; pure.

The score is that of a sequential probability ratio test (Wald): each result
adds the logarithm of how much likelier it is at an unhealthy target than at a
healthy one. The score never falls below 0, so that a long healthy period
doesn't delay the detection of a sudden failure.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import log
from types import MappingProxyType
from typing import Final

from hillfield.model import RequestPlan, Urgency


class Ending(StrEnum):
    """Name the result of an attempt, as evidence of the target's health.

    `BROKEN`: the connection was lost or the answer was malformed; `FAILED`:
    the answer was an error; `HUNG`: it took far longer than requests do there;
    `UNREACHABLE`: no connection could be made; `NO_EVIDENCE`: the result says
    nothing about the target.
    """

    GOOD = 'good'
    FAILED = 'failed'
    BROKEN = 'broken'
    HUNG = 'hung'
    UNREACHED = 'unreached'
    SILENT = 'silent'


# Share of requests that fail at an unhealthy target: 45 to 85 in 100 were
# measured.
SICK_RATE: Final = 0.6
# Shares of requests that fail at a healthy target: some 2 in 100 answers are
# errors, mostly of calls that the target made; broken connections are far
# rarer.
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
# Reached by one broken connection, or by two errors in a row.
SICK_SCORE: Final = 4.5
MOST_SCORE: Final = 5.1
# Score at which quarantine ends: four good answers in a row, which an
# unhealthy target gives in 3 of 100 cases.
WELL_SCORE: Final = 1.6
# Seconds between trials of a quarantined target until one succeeds; doubled
# after each failed trial. Each trial that fails costs a retry: eight unhealthy
# targets, each tried every 0.15 s, used up the retry budget of a fleet of 21
# hosts.
TRIAL_EVERY: Final = 0.15
RAREST_TRIAL: Final = 1.0
# Success share at a quarantined target, for requests that must not run twice:
# the initial estimate, the weight of each further result, and the share from
# which such a request is sent when no other target takes it. Targets that
# reset 40 in 100 connections still serve, those that reset 85 in 100 hardly
# do.
FIRST_ODDS: Final = 0.25
ODDS_GAIN: Final = 0.3
FAIR_ODDS: Final = 0.4
# The share from which such a request is sent when no target has taken it for
# long. Below it, an answer that it has not run serves the caller better.
POOR_ODDS: Final = 0.2
# Seconds without a trial after which a quarantined target is tried by an
# idempotent request that has no retry left, and by any request. Targets fail
# for about 5 s at a time.
LONG_SHUN: Final = 0.5
LONGEST_SHUN: Final = 3.0


@dataclass(slots=True)
class Standing:
    """Score the health of one incarnation of a target; times are seconds.

    `reachable` says whether the last connection could be made; `successes`
    counts the trials that succeeded in a row: so many more may run at once;
    `trial_interval` is the time between two trials. `success_share` is the
    share of requests with a good result since the last change of state,
    exponentially weighted. `age_score` is the part of the score that the ages
    of unanswered requests have added; `only_by_age` says that nothing but ages
    has put the target into quarantine.
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
        attempt_result: Ending,
        weight: float | None = None,
    ) -> bool:
        """Record the result of an attempt; return whether quarantine changed.

        `weight` replaces the default change of the score for this result.
        """
        if attempt_result is Ending.SILENT:
            return False
        self.reached = attempt_result is not Ending.UNREACHED
        self._update_trials(attempt_result)
        self._track_ages(attempt_result, weight or 0)
        if self.reached:
            change = SCORES[attempt_result] if weight is None else weight
            score = self.score + change
            self.score = min(MOST_SCORE, max(0, score))
        else:
            self.score = MOST_SCORE
        return self._update_quarantine(now)

    def take_back(self, now: float, weight: float) -> bool:
        """Subtract the weight of a request's age, since it was answered.

        In an overload, requests that wait for their own calls or for a busy
        target grow as old as those that hang; a quarantine for their age would
        take slots away when they are scarce. Return whether this ended the
        quarantine.
        """
        self.ages = max(0, self.ages - weight)
        if not self.shunned:
            self.score = max(0, self.score - weight)
            return False
        if self.by_age:
            self.score = min(self.score, self.ages)
        return self._update_quarantine(now)

    def admits(self, now: float, plan: RequestPlan) -> bool:
        """Return whether a request may be sent to the target now."""
        if not self.shunned:
            return True
        urgent = plan.urgency >= Urgency.INSISTS
        if urgent and self.reached and self._is_likely_to_succeed(plan):
            return True
        if self.trials > self.streak:
            return False
        if plan.trial:
            return self.wants_trial(now)
        wait = LONG_SHUN if plan.idempotent else LONGEST_SHUN
        return now - max(self.since, self.tried) >= wait

    def wants_trial(self, now: float) -> bool:
        """Return whether a trial of a quarantined target may begin now."""
        if self.trials > self.streak:
            return False
        return bool(self.streak) or now - self.tried >= self.pause

    def begin(self, now: float) -> None:
        """Record that a request is sent to the target."""
        if self.shunned:
            self.tried = now
            self.trials += 1

    def end(self) -> None:
        """Record that a request at the target has ended."""
        self.trials = max(0, self.trials - 1)

    def _is_likely_to_succeed(self, plan: RequestPlan) -> bool:
        """Return whether a request is likely enough to succeed."""
        most_urgent = plan.urgency is Urgency.PRESSES
        minimum = POOR_ODDS if most_urgent else FAIR_ODDS
        return plan.idempotent or self.odds >= minimum

    def _update_trials(self, attempt_result: Ending) -> None:
        good = attempt_result is Ending.GOOD
        self.odds += ODDS_GAIN * (good - self.odds)
        if good:
            self.streak += 1
            self.pause = TRIAL_EVERY
            return
        self.streak = 0
        if self.shunned:
            self.pause = min(RAREST_TRIAL, 2 * self.pause)

    def _track_ages(self, attempt_result: Ending, weight: float) -> None:
        """Track how much of the score rests on ages alone."""
        if attempt_result is Ending.HUNG:
            self.ages += weight
            self.by_age |= not self.shunned
        elif attempt_result is not Ending.GOOD:
            self.by_age = False

    def _update_quarantine(self, now: float) -> bool:
        before = self.shunned
        threshold = WELL_SCORE if before else SICK_SCORE
        self.shunned = self.score > threshold
        if self.shunned is not before:
            self.since = now
            if before:
                self.ages = 0
            self.trials = 0
            self.streak = 0
            self.pause = TRIAL_EVERY
            self.odds = FIRST_ODDS
        return self.shunned is not before
