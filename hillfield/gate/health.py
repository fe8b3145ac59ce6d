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


class AttemptResult(StrEnum):
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
    UNREACHABLE = 'unreached'
    NO_EVIDENCE = 'silent'


# Share of requests that fail at an unhealthy target, which is 45 to 85 in 100.
UNHEALTHY_FAILURE_RATE: Final = 0.6
# Shares of requests that fail at a healthy target: some 2 in 100 answers are
# errors, mostly of calls that the target made; broken connections are far
# rarer.
HEALTHY_ERROR_RATE: Final = 0.03
HEALTHY_BREAK_RATE: Final = 0.004
HEALTHY_HANG_RATE: Final = 0.02
SCORE_CHANGES: Final[Mapping[AttemptResult, float]] = MappingProxyType(
    {
        AttemptResult.GOOD: log(
            (1 - UNHEALTHY_FAILURE_RATE) / (1 - HEALTHY_ERROR_RATE)
        ),
        AttemptResult.FAILED: log(UNHEALTHY_FAILURE_RATE / HEALTHY_ERROR_RATE),
        AttemptResult.BROKEN: log(UNHEALTHY_FAILURE_RATE / HEALTHY_BREAK_RATE),
        AttemptResult.HUNG: log(UNHEALTHY_FAILURE_RATE / HEALTHY_HANG_RATE),
    },
)
# Reached by one broken connection, or by two errors in a row.
QUARANTINE_SCORE: Final = 4.5
MAXIMUM_SCORE: Final = 5.1
# Score at which quarantine ends: reached by four good answers in a row, which
# an unhealthy target gives in 3 of 100 cases.
RECOVERY_SCORE: Final = 1.6
# Seconds between trials of a quarantined target until one succeeds; doubled
# after each failed trial. Each trial that fails costs a retry: eight unhealthy
# targets, each tried every 0.15 s, used up the retry budget of a fleet of 21
# hosts.
TRIAL_INTERVAL: Final = 0.15
MAXIMUM_TRIAL_INTERVAL: Final = 1.0
# Success share at a quarantined target, for requests that must not run twice:
# the initial estimate, the weight of each further result, and the share from
# which such a request is sent when no other target takes it. Targets that
# reset 40 in 100 connections still serve, those that reset 85 in 100 hardly
# do.
INITIAL_SUCCESS_SHARE: Final = 0.25
SUCCESS_SHARE_GAIN: Final = 0.3
FAIR_SUCCESS_SHARE: Final = 0.4
# The share from which such a request is sent when no target has taken it for
# long. Below it, an answer that it has not run serves the caller better.
POOR_SUCCESS_SHARE: Final = 0.2
# Seconds without a trial after which a quarantined target is tried by an
# idempotent request that has no retry left, and by any request. Targets fail
# for about 5 s at a time.
IDEMPOTENT_TRIAL_DELAY: Final = 0.5
ANY_TRIAL_DELAY: Final = 3.0


@dataclass(slots=True)
class HealthScore:
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
    quarantined: bool = False
    reachable: bool = True
    changed_at: float = 0
    last_trial: float = float('-inf')
    running_trials: int = 0
    successes: int = 0
    trial_interval: float = TRIAL_INTERVAL
    success_share: float = INITIAL_SUCCESS_SHARE
    age_score: float = 0
    only_by_age: bool = False

    def record(
        self,
        now: float,
        attempt_result: AttemptResult,
        weight: float | None = None,
    ) -> bool:
        """Record the result of an attempt; return whether quarantine changed.

        `weight` replaces the default change of the score for this result.
        """
        if attempt_result is AttemptResult.NO_EVIDENCE:
            return False
        self.reachable = attempt_result is not AttemptResult.UNREACHABLE
        self._update_trials(attempt_result)
        self._track_ages(attempt_result, weight or 0)
        if self.reachable:
            change = SCORE_CHANGES[attempt_result] if weight is None else weight
            score = self.score + change
            self.score = min(MAXIMUM_SCORE, max(0, score))
        else:
            self.score = MAXIMUM_SCORE
        return self._update_quarantine(now)

    def retract(self, now: float, weight: float) -> bool:
        """Subtract the weight of a request's age, since it was answered.

        In an overload, requests that wait for their own calls or for a busy
        target grow as old as those that hang; a quarantine for their age would
        take slots away when they are scarce. Return whether this ended the
        quarantine.
        """
        self.age_score = max(0, self.age_score - weight)
        if not self.quarantined:
            self.score = max(0, self.score - weight)
            return False
        if self.only_by_age:
            self.score = min(self.score, self.age_score)
        return self._update_quarantine(now)

    def admits(self, now: float, plan: RequestPlan) -> bool:
        """Return whether a request may be sent to the target now."""
        if not self.quarantined:
            return True
        urgent = plan.urgency >= Urgency.ALLOW_QUARANTINED
        if urgent and self.reachable and self._is_likely_to_succeed(plan):
            return True
        if self.running_trials > self.successes:
            return False
        if plan.trial:
            return self.is_trial_due(now)
        wait = IDEMPOTENT_TRIAL_DELAY if plan.idempotent else ANY_TRIAL_DELAY
        return now - max(self.changed_at, self.last_trial) >= wait

    def is_trial_due(self, now: float) -> bool:
        """Return whether a trial of a quarantined target may begin now."""
        if self.running_trials > self.successes:
            return False
        return (
            bool(self.successes) or now - self.last_trial >= self.trial_interval
        )

    def record_start(self, now: float) -> None:
        """Record that a request is sent to the target."""
        if self.quarantined:
            self.last_trial = now
            self.running_trials += 1

    def record_end(self) -> None:
        """Record that a request at the target has ended."""
        self.running_trials = max(0, self.running_trials - 1)

    def _is_likely_to_succeed(self, plan: RequestPlan) -> bool:
        """Return whether a request is likely enough to succeed."""
        most_urgent = plan.urgency is Urgency.ALLOW_ANY
        minimum = POOR_SUCCESS_SHARE if most_urgent else FAIR_SUCCESS_SHARE
        return plan.idempotent or self.success_share >= minimum

    def _update_trials(self, attempt_result: AttemptResult) -> None:
        good = attempt_result is AttemptResult.GOOD
        self.success_share += SUCCESS_SHARE_GAIN * (good - self.success_share)
        if good:
            self.successes += 1
            self.trial_interval = TRIAL_INTERVAL
            return
        self.successes = 0
        if self.quarantined:
            self.trial_interval = min(
                MAXIMUM_TRIAL_INTERVAL,
                2 * self.trial_interval,
            )

    def _track_ages(self, attempt_result: AttemptResult, weight: float) -> None:
        """Track how much of the score rests on ages alone."""
        if attempt_result is AttemptResult.HUNG:
            self.age_score += weight
            self.only_by_age |= not self.quarantined
        elif attempt_result is not AttemptResult.GOOD:
            self.only_by_age = False

    def _update_quarantine(self, now: float) -> bool:
        before = self.quarantined
        threshold = RECOVERY_SCORE if before else QUARANTINE_SCORE
        self.quarantined = self.score > threshold
        if self.quarantined is not before:
            self.changed_at = now
            if before:
                self.age_score = 0
            self.running_trials = 0
            self.successes = 0
            self.trial_interval = TRIAL_INTERVAL
            self.success_share = INITIAL_SUCCESS_SHARE
        return self.quarantined is not before
