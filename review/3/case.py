"""A configuration allows longer bodies; connections from before stay in use."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

from deployment import LIMITS, make_rule, play  # noqa: E402
from web import Connection  # noqa: E402

SERVICES = [('desk', 'kgl-a'), ('claims', 'kgl-a'), ('claims', 'kgl-a')]
RULES = [make_rule('/claims/', 'claims', 'unsafe')]
BEFORE = {**LIMITS, 'maxBodyBytes': 16384}
AFTER = {**LIMITS, 'maxBodyBytes': 65536}
BODY = b'x' * 30000
KEPT = 20
# Twice configApplyS.
APPLIED_S = 4.0


async def script(place, trouble):
    await place.start(RULES, limits=BEFORE if trouble else AFTER)
    first = place.machines[0]
    kept = []
    for _ in range(KEPT):
        connection = await Connection(*first.outbound).open()
        await place.ask(first, 'POST', '/claims/a', b'x' * 1000, connection=connection)
        kept.append(connection)
    place.configure(2, RULES, AFTER)
    place.record(f'it allows bodies of {AFTER["maxBodyBytes"]} bytes')
    await asyncio.sleep(APPLIED_S)
    breaches = []
    for connection in kept:
        request, answer = await place.ask(first, 'POST', '/claims/b', BODY, connection=connection)
        if answer is not None and answer.status == 413:
            breaches.append(
                f'CONFIG: {request}, {len(BODY)} bytes, sent {APPLIED_S} s after the ack of '
                f'version 2, got 413 as only version 1 allows'
            )
    for _ in range(5):
        await place.ask(first, 'POST', '/claims/b', BODY)
    return breaches


if __name__ == '__main__':
    play(HERE, SERVICES, script)
