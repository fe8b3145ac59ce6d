"""An acknowledged farewell is forgotten by a restart while the store is away.

An upstream says that it leaves, and the farewell is acknowledged. The node is
killed and starts again while the store gives this machine no answer. A ping
that the upstream had sent before its farewell arrives late, and the node sends
it new work.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from deployment import TROUBLE, main, rule  # noqa: E402

DRAIN_SECONDS = 2
REQUESTS = 15
# The upstream serves on for so long after the ack.
SERVES_SECONDS = 20
# With TROUBLE=0, KILL=1 kills the node all the same; the store answers.
KILL = os.environ.get('KILL', '0') != '0'


async def play(site):
    first, second, _ = site.zones
    await site.start(
        [
            (first, 'pay'),
            (first, 'pay'),
            (first, 'book'),
            (second, 'pay'),
            (second, 'book'),
        ],
        [rule('/pufi791/', 'pay', 'unsafe')],
    )
    leaving = site.machines[0]
    upstream = leaving.upstream
    delayed = upstream.beat()
    upstream.beating = False
    while await leaving.tell('DELETE', None) != 200:
        await asyncio.sleep(0.5)
    acknowledged = site.record.now()
    last = acknowledged + SERVES_SECONDS
    if TROUBLE:
        site.store.modes[leaving.store_ip] = 'silent'
        site.record.note('store', f'gives {leaving.name} no answer from now on')
    if TROUBLE or KILL:
        leaving.send_signal(signal.SIGKILL)
        leaving.process.wait()
        await asyncio.sleep(0.5)
        leaving.start_node()
    await asyncio.sleep(3.3)
    await leaving.tell('PUT', delayed)
    while not await leaving.is_ready() and site.record.now() < last:
        await asyncio.sleep(0.1)
    site.record.note('platform', f'finds {leaving.name} ready')
    await asyncio.sleep(0.5)
    for _ in range(REQUESTS):
        await asyncio.gather(
            site.send(leaving, 'POST', '/pufi791/2f', b'x'),
            site.send(leaving, 'POST', '/pufi791/2f', b'x'),
        )
    late = [
        run for run in upstream.runs if run[0] > acknowledged + DRAIN_SECONDS
    ]
    site.record.note(
        'check',
        f'{len(late)} of {2 * REQUESTS} requests reached {upstream.name} later'
        ' than drainS after the ack',
    )
    return bool(late)


main(HERE, play)
