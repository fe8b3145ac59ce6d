"""The evidence against one request during which targets have exited."""

from dataclasses import dataclass, field
from typing import Final

from xxhash import xxh3_64_intdigest

from hillfield.crashes.messages import AnswerRow, ExitRow
from hillfield.crashes.proof import (
    SeenExit,
    compute_refusal_time,
    count_in_sequence,
    is_harmful,
    is_outweighed,
)

# Seed of the digest of a harmful request.
HARMFUL_SEED: Final = 1
NEVER: Final = float('-inf')
# Seconds after the exit that proves a request harmful in which all nodes hear of
# it, and of how often others answered the request lately.
ANSWERS_DELAY: Final = 0.1
# Exits kept of one request: further exits at one moment are no new evidence.
MAXIMUM_EXITS: Final = 16


@dataclass(slots=True)
class Case:
    """Hold the exits during a request; times are monotonic seconds.

    `exits` are keyed by the node that saw each and its number there; `harmful`
    says that they are sufficient evidence, since the exit at `proven_at`;
    `answers` are when targets answered it and kept running, keyed alike; exits
    until `cleared_at` are no evidence; `last_trial` is when this node last let
    the request run as a trial; `stored` says that the store is known to reflect
    `harmful`.
    """

    fingerprint: bytes
    exits: dict[tuple[str, int], SeenExit] = field(default_factory=dict)
    answers: dict[tuple[str, int], float] = field(default_factory=dict)
    harmful: bool = False
    proven_at: float = NEVER
    cleared_at: float = NEVER
    last_trial: float = NEVER
    stored: bool = True
    _digest: int | None = None

    @property
    def last_event(self) -> float:
        """Return when the request last caused an exit or was cleared."""
        ended = (seen_exit.ended for seen_exit in self.exits.values())
        return max(self.cleared_at, *ended, NEVER)

    def add_exit(self, now: float, row: ExitRow) -> None:
        """Add an exit, unless it is known, cleared, or one too many."""
        name = (row.gate, row.number)
        ended = now - row.ago
        if name in self.exits or ended <= self.cleared_at:
            return
        if len(self.exits) >= MAXIMUM_EXITS:
            return
        self._digest = None
        self.exits[name] = SeenExit(ended - row.lasted, ended)
        if not self.harmful:
            self._update_harmful()
            self.proven_at = self.last_event

    def add_answer(self, now: float, row: AnswerRow) -> None:
        """Add an answer, unless it is known; the oldest ones go."""
        name = (row.gate, row.number)
        if name in self.answers:
            return
        self._digest = None
        self.answers[name] = now - row.ago
        if len(self.answers) > MAXIMUM_EXITS:
            self.answers.pop(min(self.answers, key=self.answers.__getitem__))

    def is_outweighed(self) -> bool:
        """Return whether the answers show the request to be harmless."""
        return is_outweighed(self.exits.values(), self.answers.values())

    def clear(self, moment: float) -> bool:
        """Drop the exits until a moment; return whether there were any."""
        self._digest = None
        self.cleared_at = max(self.cleared_at, moment)
        names = list(filter(self._is_cleared, self.exits))
        dropped = [self.exits.pop(name) for name in names]
        self._use_answers(count_in_sequence(dropped))
        self._update_harmful()
        return bool(dropped)

    def is_refused(self, now: float) -> bool:
        """Return whether the request is refused by all nodes."""
        if not self.harmful or now < self.proven_at + ANSWERS_DELAY:
            return False
        return self.compute_wait(now) > 0

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a trial; inf: an operator must lift it."""
        refusal_time = compute_refusal_time(self.exits.values())
        return max(0, self.last_event + refusal_time - now)

    def claim_trial(self, now: float) -> bool:
        """Claim the trial due after the refusal; False: already claimed."""
        if now - self.last_trial < compute_refusal_time(self.exits.values()):
            return False
        self.last_trial = now
        return True

    def compute_digest(self) -> int:
        """Return a digest that is equal at nodes that decide alike."""
        if self._digest is None:
            self._digest = _compute_digest(self)
        return self._digest

    def _use_answers(self, count: int) -> None:
        """Drop the oldest answers, which have outweighed as many exits."""
        oldest = sorted(self.answers, key=self.answers.__getitem__)
        for name in oldest[:count]:
            self.answers.pop(name)

    def _update_harmful(self) -> None:
        harmful = is_harmful(self.exits.values())
        if harmful is not self.harmful:
            self.harmful = harmful
            self.stored = False

    def _is_cleared(self, name: tuple[str, int]) -> bool:
        return self.exits[name].ended <= self.cleared_at


def _compute_digest(case: Case) -> int:
    if case.harmful:
        return xxh3_64_intdigest(case.fingerprint, HARMFUL_SEED)
    seen = (*case.exits, *case.answers)
    names = sorted(f'{gate}/{number}' for gate, number in seen)
    text = ' '.join((case.fingerprint.hex(), *names))
    return xxh3_64_intdigest(text.encode())
