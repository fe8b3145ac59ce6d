"""Callers of an installation whose targets end under some requests."""

import asyncio

from msgspec import Struct

from hillfield.events import EventCode
from hillfield.platform.tests.crashing import CrashingTarget
from hillfield.platform.tests.installation import play_site

SIX = ('refunds',) * 6
DEADLY = '/reads/deadly?of=till-7'
# Seconds after the third end in which all nodes have to know of it; users
# grant 3.
KNOWN_WITHIN = 1.0


def play_crashing(folder, story, services=SIX):
    """Run a coroutine function over an installation and end it."""
    play_site(folder, story, services, CrashingTarget)


class Callers:
    """Send requests under new ids, at each node in turn.

    With a `service`, only at the nodes on its hosts.
    """

    def __init__(self, site, service=''):
        self.site = site
        self.service = service
        self.sent = 0

    @property
    def hosts(self):
        return [
            host
            for host in self.site.hosts
            if self.service in {'', host.target.service}
        ]

    async def send(self, path, host=None, **more):
        self.sent += 1
        hosts = self.hosts
        chosen = host or hosts[self.sent % len(hosts)]
        more.setdefault('method', 'GET')
        name = f'c{self.sent}{self.service}'
        return await self.site.send(chosen, path, name, **more)

    async def end_three(self, path=DEADLY, **more):
        """Come again and again until three targets have ended."""
        async with asyncio.timeout(20):
            while len(list_ends(self.site)) < 3:
                await self.send(path, **more)
                await asyncio.sleep(0.05)


def list_ends(site):
    return [end for host in site.hosts for end in host.target.ends]


def count_runs(site, path=DEADLY):
    return sum(
        run.path == path for host in site.hosts for run in host.target.runs
    )


async def find_refused(site, **more):
    """Send the deadly request to each node; return what was answered."""
    callers = Callers(site)
    return await asyncio.gather(
        *(callers.send(DEADLY, host, **more) for host in site.hosts),
    )


class Told(Struct, frozen=True):
    """Hold what a refused caller is told."""

    status: int
    outcome: str
    event: int
    wait: float | None


def read_told(answer):
    wait = answer.headers.get('Retry-After')
    return Told(
        answer.code,
        answer.headers.get('Hillfield-Outcome', ''),
        int(answer.headers.get('Hillfield-Event', 0)),
        None if wait is None else float(wait),
    )


def is_refusal(answer):
    """Tell whether an answer refuses a crashing request, as not run."""
    told = read_told(answer)
    refused = told.event == EventCode.CRASHING_REQUEST_REFUSED
    return refused and (told.status, told.outcome) == (503, 'not-run')
