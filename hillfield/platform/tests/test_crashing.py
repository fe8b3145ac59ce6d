"""A request that ends each target that begins to run it.

What users saw: a service lost target after target in waves, and a tenth of its
other requests failed meanwhile. Under two requests 22 and 28 targets had ended,
seven and fifteen of these long after the third.

Order of events: a lookup reached a target, which ended under it. Its node sent
it on to a second target, as it does after a broken connection; that one ended
as well. Its caller came again, at other nodes, under new ids. Each node decided
anew, each gate forgot what it had seen with the life of its target.

Cause: nothing knew a request again beyond one caller's attempt at one node.
Evidence: with the events that name the requests of an ended target by their
likeness, one fingerprint stands in all ends of a wave, under another id in each;
those beside it are in one or two.
"""

import asyncio

from hillfield.platform.tests.crashers import (
    DEADLY,
    KNOWN_WITHIN,
    Callers,
    count_runs,
    is_refusal,
    list_ends,
    play_crashing,
)

SECONDS = 3.0
TWO_CALLERS = ('refunds',) * 4 + ('desk',) * 2


def test_no_target_gets_a_request_again_under_which_three_ended(tmp_path):
    async def story(site):
        callers = Callers(site)
        await callers.end_three()
        await asyncio.sleep(KNOWN_WITHIN)
        before = count_runs(site)
        end = asyncio.get_running_loop().time() + SECONDS
        while asyncio.get_running_loop().time() < end:
            await callers.send(DEADLY)
            await asyncio.sleep(0.05)
        assert count_runs(site) == before

    play_crashing(tmp_path, story)


def test_answers_to_another_caller_clear_no_crashing_request(tmp_path):
    # Guards against a request that ends targets for ever, since the same path
    # is harmless when another caller sends it.
    async def story(site):
        for host in site.hosts:
            host.target.deadly_from = 'desk'
        deadly = Callers(site, 'desk')
        harmless = Callers(site, 'refunds')
        answers = []

        async def ask_harmlessly():
            while True:
                answers.append(await harmless.send(DEADLY))
                await asyncio.sleep(0.05)

        asking = asyncio.create_task(ask_harmlessly())
        await deadly.end_three()
        await asyncio.sleep(KNOWN_WITHIN)
        before = len(list_ends(site))
        end = asyncio.get_running_loop().time() + SECONDS
        while asyncio.get_running_loop().time() < end:
            assert is_refusal(await deadly.send(DEADLY))
            await asyncio.sleep(0.05)
        asking.cancel()
        assert len(list_ends(site)) == before
        assert not any(map(is_refusal, answers))
        assert answers[-1].code == 200

    play_crashing(tmp_path, story, TWO_CALLERS)
