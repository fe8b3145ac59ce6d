"""Entry point of the processes of a measurement."""

import sys

import msgspec
import uvloop

from hillfield.proxy.measurement import echo, node, target
from hillfield.proxy.measurement.load import LoadSettings, run_load


def main(role: str, *arguments: str) -> None:
    """Run one component until its input ends."""
    match role:
        case 'target':
            uvloop.run(target.serve())
        case 'echo':
            uvloop.run(echo.serve())
        case 'node':
            uvloop.run(node.serve(int(arguments[0])))
        case 'load':
            settings = msgspec.json.decode(arguments[0], type=LoadSettings)
            seconds = uvloop.run(run_load(settings))
            sys.stdout.buffer.write(msgspec.json.encode(seconds))
            sys.stdout.flush()


if __name__ == '__main__':
    main(*sys.argv[1:])
