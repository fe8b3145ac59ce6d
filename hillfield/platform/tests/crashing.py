"""A target that ends when it begins to run some requests, and comes back."""

import asyncio

from hillfield.platform.tests.standin_target import StandInTarget

AWAY = 0.6
# Seconds from the beginning of a run to the end that it brings about.
FUSE = 0.02
# Seconds that no run of a request that ends its target takes.
LONGER = 3600


class CrashingTarget(StandInTarget):
    """End under requests for a path that begins with `deadly`.

    Only requests from the service `deadly_from` are deadly, if that is set.
    Each life has a name of its own. `ends` holds the ids of the requests that
    ended it, with the moments.
    """

    def __init__(self, address, service, name, deadly='/reads/deadly'):
        super().__init__(address, service, name)
        self.deadly = deadly
        self.deadly_from = ''
        self.first_name = name
        self.ends = []
        self.away = AWAY
        self._burning = False

    def note_run(self, run):
        """Begin to run a request; a deadly one ends the target soon."""
        seconds = super().note_run(run)
        if not self._is_deadly(run):
            return seconds
        if not self._burning:
            self._burning = True
            asyncio.create_task(self._burn(run))
        return LONGER

    async def announce(self, control, state='ready', sequence=None):
        if not self._burning:
            await super().announce(control, state, sequence)

    def _is_deadly(self, run):
        if self.deadly_from not in {'', run.caller}:
            return False
        return run.path.startswith(self.deadly)

    async def _burn(self, run):
        await asyncio.sleep(FUSE)
        now = asyncio.get_running_loop().time()
        self.ends.append((now, run.request))
        await self.stop()
        await asyncio.sleep(self.away)
        self.name = f'{self.first_name}-{len(self.ends)}'
        self.sequence = 0
        self._burning = False
        self.renew()
        self.start()
