"""Experiment `control`: what a node costs without and with requests."""

import os
from asyncio import run, sleep
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from msgspec import Struct

from hillfield.demo.fleet import LocalFleet
from hillfield.demo.layout import make_layout, read_services
from hillfield.experiments.processes import Processes
from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Check, Condition, Report, Table

HOSTS: Final = 3
SETTLE: Final = 5.0
LONG: Final = 20.0
SHORT: Final = 5.0
MOST_PROCESSOR: Final = 2.9
PERCENT: Final = 100
KIBIBYTE: Final = 1024
# Fields of /proc/<pid>/stat after the name, which may hold spaces.
USER_TIME: Final = 11
SYSTEM_TIME: Final = 12
COLUMNS: Final = ('node', 'processor % of a core', 'resident MB')


class Usage(Struct, frozen=True):
    """Hold processor seconds so far and resident bytes of a process."""

    seconds: float
    resident: int


def read_usage(process: int) -> Usage:
    """Read what the kernel counts of a process."""
    folder = Path('/proc') / str(process)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[USER_TIME]) + int(fields[SYSTEM_TIME])
    pages = int((folder / 'statm').read_text().split()[1])
    return Usage(
        ticks / os.sysconf('SC_CLK_TCK'),
        pages * os.sysconf('SC_PAGE_SIZE'),
    )


def measure(options: Options) -> Report:
    """Measure idle nodes: heartbeats of targets, links, probes, watches."""
    rows = run(_measure(SHORT if options.quick else LONG))
    most = max(float(row[1]) for row in rows)
    return Report(
        'control',
        conditions=(
            Condition('fleet', f'{HOSTS} nodes, 9 targets each, no requests'),
        ),
        tables=(Table('idle nodes', COLUMNS, rows),),
        checks=(
            Check(
                f'at most {MOST_PROCESSOR}% of a core',
                most <= MOST_PROCESSOR,
                f'{most:.2f}%',
            ),
        ),
        notes=('resident memory includes the interpreter and libraries',),
    )


async def _measure(seconds: float) -> tuple[tuple[str | float, ...], ...]:
    layout = make_layout(HOSTS, read_services(), HOSTS)
    with TemporaryDirectory() as name:
        folder = Path(name)
        with Processes(folder) as processes:
            fleet = LocalFleet(layout, folder, processes)
            await fleet.start()
            await sleep(SETTLE)
            before = _read_all(fleet)
            await sleep(seconds)
            after = _read_all(fleet)
            await fleet.stop()
    return tuple(
        _row(node, before[node], after[node], seconds) for node in before
    )


def _read_all(fleet: LocalFleet) -> dict[str, Usage]:
    return {name: read_usage(pid) for name, pid in fleet.pids.items()}


def _row(
    name: str,
    before: Usage,
    after: Usage,
    seconds: float,
) -> tuple[str | float, ...]:
    share = (after.seconds - before.seconds) / seconds
    return (name, share * PERCENT, after.resident / KIBIBYTE / KIBIBYTE)
