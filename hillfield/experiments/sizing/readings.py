"""Read what processes of a rig have used: processor, memory, link bytes."""

import os
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Final

from msgspec import Struct
from prometheus_client.parser import text_string_to_metric_families
from tornado.httpclient import HTTPClientError

from hillfield.demo.layout import HostPlan
from hillfield.experiments.sizing.rigs import Rig

LINK_BYTES: Final = 'hillfield_link_bytes_total'
USER_FIELD: Final = 11
KILOBYTE: Final = 1024
PATIENCE: Final = 5.0


class Memory(Struct, frozen=True):
    """Hold bytes: resident, shared by proportion, and not from files."""

    resident: int
    proportional: int
    anonymous: int


class Usage(Struct, frozen=True):
    """Hold what one node had used at a moment; `processor` in seconds."""

    at: float
    processor: float
    sent: float
    received: float


def read_processor(pid: int) -> float:
    """Return the processor seconds of all threads, from /proc."""
    stat = Path(f'/proc/{pid}/stat').read_text('utf-8')
    fields = stat.rpartition(')')[2].split()
    user, system = fields[USER_FIELD : USER_FIELD + 2]
    ticks = int(user) + int(system)
    return ticks / os.sysconf('SC_CLK_TCK')


def read_memory(pid: int) -> Memory:
    """Return the memory of a process, from /proc."""
    text = Path(f'/proc/{pid}/smaps_rollup').read_text('utf-8')
    sizes = _read_sizes(text)
    return Memory(sizes['Rss'], sizes['Pss'], sizes['Anonymous'])


async def read_usage(rig: Rig, host: HostPlan) -> Usage:
    """Return what a node has used; the scrape itself isn't counted.

    The first reading of a pair counts the processor after the scrape and the
    second one before it, see `read_usage_after`.
    """
    links = await _read_links(rig, host)
    processor = read_processor(rig.pids[host.name])
    return _make_usage(links, processor)


async def read_usage_after(rig: Rig, host: HostPlan) -> Usage:
    """Return what a node has used, to be set against `read_usage`."""
    processor = read_processor(rig.pids[host.name])
    return _make_usage(await _read_links(rig, host), processor)


def _make_usage(links: Mapping[str, float], processor: float) -> Usage:
    return Usage(
        time.monotonic(),
        processor,
        links.get('sent', 0),
        links.get('received', 0),
    )


async def _read_links(rig: Rig, host: HostPlan) -> Mapping[str, float]:
    url = f'http://{host.control}/metrics'
    try:
        answer = await rig.http.fetch(url, request_timeout=PATIENCE)
    except HTTPClientError:
        # A busy machine may starve a node for seconds; a second call tells.
        answer = await rig.http.fetch(url)
    families = text_string_to_metric_families(answer.body.decode())
    return {
        sample.labels['direction']: sample.value
        for family in families
        for sample in family.samples
        if sample.name == LINK_BYTES
    }


def _read_sizes(text: str) -> Mapping[str, int]:
    lines = (line.split() for line in text.splitlines()[1:])
    return {
        line[0].rstrip(':'): int(line[1]) * KILOBYTE
        for line in lines
        if line[-1] == 'kB'
    }
