"""Callers of a service whose targets say something of themselves."""

import asyncio
from random import Random
from time import monotonic

# The users' rules (seconds, requests): a limit counts for the nodes that had
# passed it on so long before, over windows of this length, from this long
# after it was first named, with this slack.
TOLD_BEFORE = 0.5
WINDOW = 4.0
CONTACT = 3.0
FACTOR = 1.5
SLACK = 5
# Seconds that a target works, and between two requests of one caller's node.
WORK = 0.05
PAUSE = 0.05


class Callers:
    """Send requests at every node all the while, and note what came back.

    `told` holds the moment at which each node first passed on an answer that
    has a header, by node and header.
    """

    def __init__(self, site, seed=1):
        self.site = site
        self.hosts = site.hosts
        self.answers = []
        self.told = {}
        self.sent = {}
        self._random = Random(seed)

    async def send_for(self, seconds, pause=PAUSE):
        """Send at all nodes for some seconds; wait for all answers."""
        ends = monotonic() + seconds
        sending = []
        number = len(self.answers)
        while monotonic() < ends:
            for host in self.hosts:
                name = f'{host.name}/{number}'
                sending.append(asyncio.create_task(self.send(host, name)))
                number += 1
            await asyncio.sleep(pause * (0.5 + self._random.random()))
        await asyncio.gather(*sending)

    async def send(self, host, name):
        self.sent[name] = monotonic()
        answer = await self.site.send(host, '/refunds/', name)
        self.answers.append(answer)
        for header in answer.headers:
            self.told.setdefault((host.name, header), monotonic())
        return answer

    def list_told(self, header, hosts):
        """Return the hosts whose nodes have passed on such an answer."""
        return [host for host in hosts if (host.name, header) in self.told]

    def find_counted(self, target, header, after):
        """Return when requests of nodes told so long before reached a target."""
        return [
            reached.moment
            for reached in target.arrivals
            if self._was_told(reached.request, header, after)
        ]

    def _was_told(self, request, header, after):
        told = self.told.get((request.partition('/')[0], header))
        sent = self.sent.get(request)
        return told is not None and sent is not None and sent >= told + after


def find_most(moments, window=WINDOW):
    """Return the most arrivals in any window."""
    return max(
        (
            sum(start <= moment < start + window for moment in moments)
            for start in moments
        ),
        default=0,
    )


def allow(rate):
    """Return the requests that the users' rule allows in a window."""
    return FACTOR * rate * WINDOW + SLACK
