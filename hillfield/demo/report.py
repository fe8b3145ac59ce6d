"""The demo's short report."""

from collections import Counter
from itertools import chain
from typing import Final

import msgspec

from hillfield.demo.scenes import Scene
from hillfield.emulator import Call, Verdict
from hillfield.emulator.summary import CallSummary, sum_up

NAME_WIDTH: Final = 42
PROMISE_WIDTH: Final = 16


class DemoReport(msgspec.Struct, frozen=True):
    """Hold what the demo did and how the promises fared."""

    scenes: tuple[Scene, ...]
    calls: tuple[Call, ...]
    verdicts: tuple[Verdict, ...]
    problem: str = ''

    @property
    def held(self) -> bool:
        """Tell whether each scene went as wanted and each promise held."""
        done = all(scene.seconds is not None for scene in self.scenes)
        kept = all(verdict.held for verdict in self.verdicts)
        return done and kept and not self.problem


class Outline(msgspec.Struct, frozen=True):
    """Hold what a program needs of a report; `seconds` null: not in time."""

    held: bool
    scenes: tuple[Scene, ...]
    calls: CallSummary
    verdicts: tuple[Verdict, ...]
    problem: str


def encode_demo(report: DemoReport) -> str:
    """Return the report as JSON, with sums instead of each request.

    >>> encode_demo(DemoReport((), (), ()))[:26]
    '{"held":true,"scenes":[],"'
    """
    outline = Outline(
        report.held,
        report.scenes,
        sum_up(report.calls),
        report.verdicts,
        report.problem,
    )
    return msgspec.json.encode(outline).decode()


def show_demo(report: DemoReport) -> str:
    """Return the report as lines of text.

    >>> print(show_demo(DemoReport((Scene('ready', 1.5),), (), ())))
    scenes
      ready                                            1.5 s
    <BLANKLINE>
    """
    return '\n'.join(
        (
            'scenes',
            *chain.from_iterable(map(_show_scene, report.scenes)),
            '',
            *_show_calls(report.calls),
            *map(_show_verdict, report.verdicts),
            *(_conclude(report) if report.verdicts else ()),
            *((report.problem,) if report.problem else ()),
        )
    )


def _conclude(report: DemoReport) -> tuple[str, ...]:
    if report.held:
        return ('', 'all scenes went in time and all promises held')
    late = [scene.name for scene in report.scenes if scene.seconds is None]
    broken = [each.promise for each in report.verdicts if not each.held]
    return (
        '',
        'NOT ALL WENT WELL',
        *(f'not in time: {name}' for name in late),
        *(f'broken: {promise}' for promise in broken),
    )


def _show_scene(scene: Scene) -> tuple[str, ...]:
    took = 'NOT IN TIME'
    if scene.seconds is not None:
        seconds = round(scene.seconds, 1)
        took = f'{seconds} s'.rjust(len(took))
    name = scene.name.ljust(NAME_WIDTH)
    line = f'  {name} {took}  {scene.detail}'.rstrip()
    return (line, *(f'      {note}' for note in scene.notes))


def _show_calls(calls: tuple[Call, ...]) -> tuple[str, ...]:
    if not calls:
        return ()
    services = Counter(call.service for call in calls)
    counts = ', '.join(f'{name} {services[name]}' for name in services)
    summary = sum_up(calls).show().splitlines()
    return (
        f'requests: {counts}',
        *(f'  {line}' for line in summary),
        '',
        'promises',
    )


def _show_verdict(verdict: Verdict) -> str:
    word = 'held  ' if verdict.held else 'BROKEN'
    name = verdict.promise.ljust(PROMISE_WIDTH)
    judged = f'by {verdict.facts} facts {verdict.detail}'
    return f'  {name} {word} {judged}'.rstrip()
