"""A second answer of a refusal is taken for the answer to the next attempt.

An upstream that is full refuses a request (503, X-Not-Executed), and sends
the same answer once more, late, at the point where the next response is
expected on that connection. The system sends the request to it again on that
connection, the upstream runs it, and the late refusal is taken for its answer.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from deployment import TROUBLE, main, rule  # noqa: E402

ROUNDS = 25
BETWEEN = 15
PROMISES = (408, 421, 429, 503)


async def play(site):
    first, second, _ = site.zones
    await site.start(
        [(first, 'pay'), (first, 'pay'), (second, 'book')],
        [rule('/pufi791/', 'pay', 'unsafe', attempts=3)],
    )
    pay, asking = site.machines[:2], site.machines[2]
    refused = set()
    second_answers = {}

    async def behave(upstream, request, writer):
        """Be full for the first arrival of some requests."""
        given = request.get('x-request-id')
        if '/full' not in request.first:
            return False
        if (upstream.name, given) not in refused:
            refused.add((upstream.name, given))
            site.record.note(upstream.name, f'is full, refuses {given}')
            answer = upstream.refusal(request)
            writer.write(answer)
            if TROUBLE:
                second_answers[writer] = (given, answer)
            return True
        upstream.run(request)
        other, answer = second_answers.pop(writer, ('', b''))
        if answer:
            site.record.note(
                upstream.name, f'sends its refusal of {other} a second time'
            )
            writer.write(answer)
            await writer.drain()
        await asyncio.sleep(0.3)
        writer.write(upstream.success(request))
        return True

    for machine in pay:
        machine.upstream.behave = behave
    broken = 0
    for _ in range(ROUNDS):
        for _ in range(BETWEEN):
            await site.send(asking, 'POST', '/pufi791/plain', b'x')
        given, answer = await site.send(asking, 'POST', '/pufi791/full', b'x')
        await asyncio.sleep(0.1)
        runs = sum(
            run[1] == given for machine in pay for run in machine.upstream.runs
        )
        status = None if answer is None else answer.status
        if runs > 1:
            broken += 1
            site.record.note('TWICE', f'{given} has run {runs} times')
        if runs and status in PROMISES:
            broken += 1
            site.record.note('REFUSED', f'{given} got {status} and has run')
    site.record.note('check', f'{broken} of {ROUNDS} requests')
    return broken > 0


main(HERE, play)
