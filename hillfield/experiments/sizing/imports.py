"""Measure what processes hold that only import parts of hillfield."""

import subprocess  # noqa: S404  # fixed arguments, no shell
import sys
from typing import Final

from hillfield.experiments.sizing.readings import Memory, read_memory

LIBRARIES: Final = (
    'import tornado.curl_httpclient, uvloop, typer, structlog, msgspec,'
    ' expression, prometheus_client, zstandard, xxhash, pynng'
)
REQUEST_PATH: Final = 'import hillfield.proxy, hillfield.routing.dispatcher'
NODE: Final = 'import hillfield.cli.application, hillfield.cli.node'
PARTS: Final = (
    ('interpreter', 'pass'),
    ('libraries', LIBRARIES),
    ('request path', REQUEST_PATH),
    ('node, not started', NODE),
)
WAIT: Final = "; print('ready', flush=True); input()"


def measure_import(statement: str) -> Memory:
    """Run a statement in a new interpreter and read its memory."""
    command = (sys.executable, '-c', f'{statement}{WAIT}')
    with subprocess.Popen(  # noqa: S603
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    ) as process:
        if process.stdout is not None:
            process.stdout.readline()
        memory = read_memory(process.pid)
        process.communicate(b'\n')
    return memory
