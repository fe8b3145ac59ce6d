"""A request that crashes upstreams is let through again and again.

Requests that crash upstreams are recognised by method, host, path, account and
body, not by their caller. The same lookup from another caller is answered, and
each such answer makes the system forget the crashes.
"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from deployment import TROUBLE, main, rule  # noqa: E402

PATH = '/lohu930/2f'
DEADLY_CALLER = 'desk'
CONTACT_SECONDS = 3
RETRIES_ALLOWED = 3
DOWN_SECONDS = 2.0
LENGTH = 40
# Without the harmless lookups of other callers the rule holds.
OTHERS = os.environ.get('OTHERS', '1') != '0'


async def play(site):
    first, second, _ = site.zones
    layout = [((first, second)[number % 2], 'look') for number in range(6)]
    layout += [(first, DEADLY_CALLER), (second, DEADLY_CALLER)]
    await site.start(layout, [rule('/lohu930/', 'look', 'safe')])
    look, desk = site.machines[:6], site.machines[6:]
    crashes = []

    async def behave(upstream, request, writer):
        """Crash as soon as the request of that caller begins to run."""
        if not TROUBLE or request.get('x-caller-service') != DEADLY_CALLER:
            return False
        upstream.run(request)
        crashes.append(site.record.now())
        site.tasks.append(asyncio.create_task(upstream.crash(DOWN_SECONDS)))
        await asyncio.sleep(60)
        return True

    for machine in look:
        machine.upstream.behave = behave
    end = site.record.now() + LENGTH

    async def ask_from_other_callers():
        number = 0
        while OTHERS and site.record.now() < end:
            number += 1
            await site.send(look[number % 6], 'GET', PATH)
            await asyncio.sleep(0.3)

    others = asyncio.create_task(ask_from_other_callers())
    number = 0
    while site.record.now() < end:
        number += 1
        await site.send(desk[number % 2], 'GET', PATH)
        await asyncio.sleep(0.5)
    await others
    late = [
        moment
        for moment in crashes
        if len(crashes) >= 3 and moment > crashes[2] + CONTACT_SECONDS
    ]
    site.record.note(
        'check',
        f'{len(crashes)} upstreams crashed, {len(late)} of them later than'
        f' contactS after the third ({RETRIES_ALLOWED} are allowed)',
    )
    return len(late) > RETRIES_ALLOWED


main(HERE, play)
