"""All nodes are killed right after an upstream's farewell; a ping comes late."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

from deployment import make_rule, play  # noqa: E402

SERVICES = [('desk', 'kgl-a'), ('claims', 'kgl-a'), ('claims', 'kgl-a')]
RULES = [make_rule('/claims/', 'claims', 'unsafe')]
WORK_S = 0.3
DRAIN_S = 2.0
CONTACT_S = 3.0
# Seconds by which the ping is late.
LATE_S = 2.5
# Seconds for which the upstream goes on serving after its farewell.
STAYS_S = 12.0
GAP_S = 0.06


async def script(place, trouble):
    await place.start(RULES, seconds=WORK_S)
    first, _, third = place.machines
    leaving = third.upstream
    for _ in range(6):
        await place.ask(first, 'POST', '/claims/a', b'x')
    ping = leaving.make_ping()
    sent = time.monotonic()
    place.record(f'{leaving.name} sends a ping (sequence {leaving.sequence}, ready)')
    if not trouble:
        place.record(f'it is answered {await leaving.call_control("PUT", ping)}')
    await asyncio.sleep(0.1)
    status = await leaving.leave()
    acked = time.monotonic()
    place.record(f'{leaving.name} sends DELETE, the node answers {status}; no ping is sent from now on')
    if trouble:
        for machine in place.machines:
            machine.process.kill()
        for machine in place.machines:
            await machine.kill_node()
        place.record('all nodes are killed')
        await asyncio.sleep(0.3)
        for machine in place.machines:
            machine.start_node()
        for machine in place.machines:
            await machine.wait_ready()
        place.record('all nodes have been started again and are ready')
        await asyncio.sleep(max(0, sent + LATE_S - time.monotonic()))
        status = await leaving.call_control('PUT', ping)
        place.record(f'the ping arrives, {time.monotonic() - sent:.1f} s late; the node answers {status}')
    # From here on all machines are in touch.
    await asyncio.sleep(CONTACT_S + 0.5)
    sending = []
    while time.monotonic() < acked + STAYS_S:
        sending.append(asyncio.create_task(place.ask(first, 'POST', '/claims/b', b'x')))
        await asyncio.sleep(GAP_S)
    leaving.exit()
    place.record(f'{leaving.name} exits')
    told = dict(await asyncio.gather(*sending))
    breaches = []
    for moment, request, _ in leaving.runs:
        if moment <= acked + DRAIN_S or request not in told:
            continue
        answer = told[request]
        status = 'no answer' if answer is None else answer.status
        breaches.append(
            f'DRAIN: {request} reached {leaving.name} {moment - acked:.1f} s after the '
            f'acknowledgement of its farewell (drainS 2); its client got {status}'
        )
    return breaches


if __name__ == '__main__':
    play(HERE, SERVICES, script)
