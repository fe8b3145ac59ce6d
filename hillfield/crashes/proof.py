"""Decide when exits prove that a request makes its targets exit; pure.

A harmful request, which makes each target exit that begins to run it, is sent
again and again to any node, beside harmless requests that run on the same
targets when they exit. And common requests run on many targets when a failure
domain loses power. Refusing too late costs the service a target for seconds
each time; refusing a harmless request costs its callers an answer.
"""

from collections.abc import Collection, Iterable
from typing import Final

from msgspec import Struct

# Exits required during a request; up to three are acceptable. With two, each
# request that ran beside a harmful one and was retried together with it would
# be refused.
EXITS_REQUIRED: Final = 3
# Exits required in sequence, each during a run that began after the exit
# before. A loss of power of a failure domain makes many targets exit during a
# common request at one moment, which counts as one.
SEQUENCE_REQUIRED: Final = 2
# Answers that outweigh an exit.
ANSWERS_PER_EXIT: Final = 1
# Seconds before the last exit for which an answer is evidence that a request is
# harmless. Common requests are answered somewhere more often than this, so none
# that runs on many targets when a failure domain loses power is refused for
# long. A release that no longer handles a request has it refused this much
# later.
ANSWER_MEMORY_SECONDS: Final = 5.0
# Seconds by which times reported by other nodes may be off: the delay of a
# datagram and of a busy node that reads it.
CLOCK_TOLERANCE_SECONDS: Final = 0.02
# Seconds for which a request is refused after the last exit, before it is
# tried once: a new release of the target may handle it. Doubled after each
# trial that made another target exit.
REFUSAL_SECONDS: Final = 3600.0
# Trials of one request: three runs after the third exit are acceptable, one of
# which is left for requests sent before the reports arrived.
MAXIMUM_TRIALS: Final = 2


class SeenExit(Struct, frozen=True):
    """Hold when a run began and its target exited, in monotonic seconds."""

    began: float
    ended: float


def is_harmful(exits: Iterable[SeenExit]) -> bool:
    """Return whether a request is to be refused.

    >>> alone = [SeenExit(0, 1), SeenExit(2, 3), SeenExit(4, 5)]
    >>> is_harmful(alone), is_harmful(alone[:2])
    (True, False)
    >>> is_harmful([SeenExit(0, 5), SeenExit(1, 5), SeenExit(2, 5)])
    False
    """
    known = tuple(exits)
    if len(known) < EXITS_REQUIRED:
        return False
    return count_in_sequence(known) >= SEQUENCE_REQUIRED


def is_outweighed(
    exits: Collection[SeenExit],
    answers: Iterable[float],
) -> bool:
    """Return whether answers show that a request does not cause the exits.

    `answers` are moments at which targets answered it and kept running. One of
    them speaks for the target that gave it: a newer release, or one that had
    the answer at hand. Of a request that most targets bear, recent answers are
    at least as many as the exits that it was only beside. The answer to a
    trial shows it alone: otherwise a repaired target would never get it again.

    >>> first, second = SeenExit(0, 1), SeenExit(2, 3)
    >>> is_outweighed([first, second], [2.5]), is_outweighed([first], [2.5])
    (False, True)
    >>> is_outweighed([first, second], [3 + REFUSAL_SECONDS])
    True
    >>> is_outweighed([], [2.5])
    False
    """
    if not exits:
        return False
    last_exit = max(seen_exit.ended for seen_exit in exits)
    since = last_exit - ANSWER_MEMORY_SECONDS
    recent = [answered for answered in answers if answered >= since]
    if any(_is_trial(last_exit, answered) for answered in recent):
        return True
    return len(recent) >= count_in_sequence(exits) * ANSWERS_PER_EXIT


def count_in_sequence(exits: Iterable[SeenExit]) -> int:
    """Return the largest number of exits in sequence."""
    count = 0
    last_ended = float('-inf')
    for seen_exit in sorted(exits, key=_read_ended):
        if seen_exit.began >= last_ended - CLOCK_TOLERANCE_SECONDS:
            count += 1
            last_ended = seen_exit.ended
    return count


def compute_refusal_time(exits: Iterable[SeenExit]) -> float:
    """Return how long to refuse after the last exit, in seconds.

    Infinite after the last trial: only an operator may lift the refusal.

    >>> compute_refusal_time([SeenExit(0, 1)]) == REFUSAL_SECONDS
    True
    >>> compute_refusal_time([SeenExit(0, 1), SeenExit(REFUSAL_SECONDS, REFUSAL_SECONDS + 1)]) / REFUSAL_SECONDS
    2.0
    """
    exit_times = sorted(seen_exit.ended for seen_exit in exits)
    trials = sum(map(_is_trial, exit_times, exit_times[1:]))
    return (
        REFUSAL_SECONDS * 2**trials if trials < MAXIMUM_TRIALS else float('inf')
    )


def _is_trial(before: float, ended: float) -> bool:
    """Return whether an exit came so late that its run was a trial."""
    return ended - before >= REFUSAL_SECONDS - CLOCK_TOLERANCE_SECONDS


def _read_ended(seen_exit: SeenExit) -> float:
    return seen_exit.ended
