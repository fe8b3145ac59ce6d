"""A node gets SIGTERM while its clients go on sending on kept connections."""

import asyncio
import signal
import sys
import time
from collections import deque
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

from deployment import make_rule, play  # noqa: E402
from web import Connection  # noqa: E402

# The zone of the first machine has no other machine.
SERVICES = [
    ('desk', 'kgl-a'),
    ('claims', 'kgl-b'), ('claims', 'kgl-b'),
    ('claims', 'kgl-c'), ('claims', 'kgl-c'),
]
# As loss-filing of imvura-claims.toml: time-out 5 s, budget 10 s, work up to 2.6 s.
RULES = [make_rule('/claims/', 'claims', 'unsafe', timeout=5)]
BUDGET_MS = 10000
WORK_S = 2.2
KEPT = 60
GAP_S = 0.12
# Of RULES.md: requests sent later than this after SIGTERM have no excuse for
# work in the last sixth of graceS.
EXCUSED_S = 3.0
GRACE_S = 6.0


class Platform:
    """Ask a node each second; tell whether its clients get new work."""

    def __init__(self, place):
        self.place = place
        self.misses = dict.fromkeys(place.machines, 0)

    async def watch(self):
        while True:
            for machine in self.place.machines:
                ready = await machine.is_ready()
                self.misses[machine] = 0 if ready else self.misses[machine] + 1
                if self.misses[machine] == 2:
                    used = 'yet' if self.sends_to(machine) else 'no more'
                    self.place.record(f'{machine.name} missed twice; clients send there {used}')
            await asyncio.sleep(1)

    def sends_to(self, machine):
        zone = [other for other in self.place.machines if other.zone == machine.zone]
        inside = [other for other in zone if self.misses[other] < 2]
        return machine in inside or 2 * len(inside) < len(zone)


async def script(place, trouble):
    await place.start(RULES, seconds=0.01, slots=5)
    first = place.machines[0]
    platform = Platform(place)
    watching = asyncio.create_task(platform.watch())
    idle = deque()
    for _ in range(KEPT):
        connection = await Connection(*first.outbound).open()
        await place.ask(first, 'POST', '/claims/warm', b'x', BUDGET_MS, connection)
        idle.append(connection)
    for machine in place.machines:
        machine.upstream.seconds = WORK_S
    results = []
    begun = time.monotonic()

    async def send_one():
        connection = idle.popleft() if idle else await Connection(*first.outbound).open()
        sent = time.monotonic() - begun
        request, answer = await place.ask(
            first, 'POST', '/claims/file', b'x' * 300, BUDGET_MS, connection
        )
        results.append((sent, time.monotonic() - begun, request, answer))
        if answer is not None and 'close' not in answer.fields.get('connection', ''):
            idle.append(connection)

    if trouble:
        first.send_signal(signal.SIGTERM)
        place.record(f'{first.name} gets SIGTERM')
    sending = []
    while time.monotonic() < begun + 3.6:
        if platform.sends_to(first):
            sending.append(asyncio.create_task(send_one()))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*sending, return_exceptions=True)
    watching.cancel()
    ran = {run[1] for machine in place.machines for run in machine.upstream.runs}
    breaches = []
    for sent, ended, request, answer in sorted(results):
        served = answer is not None and 'x-server-signature' in answer.fields
        if request not in ran or served or sent <= EXCUSED_S or ended > GRACE_S + 1:
            continue
        told = 'no answer' if answer is None else f'{answer.status} without a signature'
        breaches.append(
            f'LOST: {request}, sent {sent:.2f} s after the SIGTERM and passed on to an '
            f'upstream, got {told} {ended - sent:.2f} s later (work {WORK_S} s, '
            f'time-out 5 s, budget 10 s)'
        )
    return breaches


if __name__ == '__main__':
    play(HERE, SERVICES, script)
