"""Disturbances of modelled targets, for simulations of detection."""

from enum import StrEnum
from heapq import heapreplace
from math import log
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.model import Target
from hillfield.routing.requests import (
    Answered,
    ConnectFailed,
    Observation,
    TimedOut,
)

OK_STATUS: Final = 200
WRONG_ANSWER: Final = Answered(OK_STATUS, wrong='prefix')
RIGHT_ANSWER: Final = Answered(OK_STATUS)
# Seconds after the start of a simulation.
ONSET: Final = 6.0
SLOWDOWN_SECONDS: Final = 8
FLAP_SECONDS: Final = 3
CONNECT_SECONDS: Final = 0.2
REQUEST_SECONDS: Final = 2.0
LATENCY_SIGMA: Final = 0.4
ERROR_SHARE: Final = 0.2
BACKGROUND_ERRORS: Final = 0.001
COLD_SECONDS: Final = 3
FIVE_TIMES: Final = 5
TWICE: Final = 2
SLOW_ROUTE_SHARE: Final = 0.1
SLOW_ROUTE_FACTOR: Final = 8
BURST_PERIOD: Final = 3
BURST_FACTOR: Final = 8


class Disturbance(StrEnum):
    """Name a disturbance; from `ONE_WAY` on no target is at fault."""

    SLOW_FIVEFOLD = 'slow5'
    SLOW_TWOFOLD = 'slow2'
    WRONG_ALWAYS = 'wrong100'
    WRONG_SOMETIMES = 'wrong20'
    STALL = 'stall'
    FLAP = 'flap'
    LYING_PROBES = 'lying-probes'
    ONE_WAY = 'one-way'
    SLOWDOWN = 'slowdown'
    BURSTS = 'bursts'
    COLD_START = 'cold-start'
    SOME_ERRORS = 'some-errors'
    FAILING_PROBES = 'failing-probes'
    MIXED_ROUTES = 'mixed-routes'
    CALM = 'calm'


HARMLESS: Final = frozenset(
    (
        Disturbance.ONE_WAY,
        Disturbance.SLOWDOWN,
        Disturbance.BURSTS,
        Disturbance.COLD_START,
        Disturbance.SOME_ERRORS,
        Disturbance.FAILING_PROBES,
        Disturbance.MIXED_ROUTES,
        Disturbance.CALM,
    ),
)


class Call(Struct, frozen=True):
    """Hold how a call ends, and the times (s) of its head and its end."""

    head: float | None
    end: float
    observation: Observation


class ModelTarget:
    """Answer calls with a few slots and a queue, under a disturbance."""

    def __init__(
        self,
        target: Target,
        median: float,
        disturbance: Disturbance,
        random: Random,
    ) -> None:
        """Start idle; `median` is the usual seconds to answer."""
        self.target = target
        self.started: float = -COLD_SECONDS
        self._median = median
        self._disturbance = disturbance
        self._random = random
        self._free = list[float](0 for _ in range(target.slots))

    def call(self, now: float, round_trip: float, is_cut: bool) -> Call:
        """Return how a call at this time ends, and when."""
        if is_cut and now >= ONSET:
            end = now + CONNECT_SECONDS
            return Call(None, end, ConnectFailed('no route'))
        if self._disturbance is Disturbance.STALL and now >= ONSET:
            return Call(None, now + REQUEST_SECONDS, TimedOut())
        seconds = self._random.lognormvariate(log(self._median), LATENCY_SIGMA)
        begun = max(now, self._free[0])
        done = begun + seconds * self._compute_latency_factor(now)
        heapreplace(self._free, done)
        head = done + round_trip
        if head > now + REQUEST_SECONDS:
            return Call(None, now + REQUEST_SECONDS, TimedOut())
        return Call(head, head, self._draw_answer(now))

    def _compute_latency_factor(self, now: float) -> float:
        factor = 1
        match self._disturbance:
            case Disturbance.SLOW_FIVEFOLD | Disturbance.LYING_PROBES:
                factor = FIVE_TIMES
            case Disturbance.SLOW_TWOFOLD:
                factor = TWICE
            case Disturbance.MIXED_ROUTES if (
                self._random.random() < SLOW_ROUTE_SHARE
            ):
                factor = SLOW_ROUTE_FACTOR
            case Disturbance.SLOWDOWN if now < ONSET + SLOWDOWN_SECONDS:
                factor = FIVE_TIMES
        if now - self.started < COLD_SECONDS:
            return FIVE_TIMES
        return factor if now >= ONSET else 1

    def _draw_answer(self, now: float) -> Observation:
        rate = BACKGROUND_ERRORS
        if now >= ONSET:
            match self._disturbance:
                case Disturbance.WRONG_ALWAYS:
                    rate = 1
                case Disturbance.WRONG_SOMETIMES | Disturbance.SOME_ERRORS:
                    rate = ERROR_SHARE
                case Disturbance.FLAP:
                    phase = int((now - ONSET) / FLAP_SECONDS)
                    rate = 1 - phase % 2
        return WRONG_ANSWER if self._random.random() < rate else RIGHT_ANSWER


def compute_rate_factor(disturbance: Disturbance, now: float) -> float:
    """Return the rate of arrivals as a multiple of the usual one."""
    if disturbance is Disturbance.BURSTS and now >= ONSET:
        return BURST_FACTOR if now % BURST_PERIOD < 1 else 1
    return 1
