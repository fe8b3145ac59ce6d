"""What targets say of connections that are idle, and of refusals."""

import asyncio

from hillfield.platform.tests.installation import play_site
from hillfield.platform.tests.standin_target import StandInTarget

IDLE = 1
# Seconds after which the target may close the connection under a request.
NEARLY_OVER = 0.95
WELL_WITHIN = 0.2


class ImpatientTarget(StandInTarget):
    """Say that idle connections are closed soon, and tell them apart."""

    def __init__(self, address, service, name):
        super().__init__(address, service, name)
        self.notice = {'Keep-Alive': f'timeout={IDLE}'}


def test_a_connection_that_its_target_is_about_to_close_gets_no_request(
    tmp_path,
):
    async def story(site):
        host = site.hosts[0]
        await site.send(host, '/refunds/', 'a')
        await asyncio.sleep(WELL_WITHIN)
        await site.send(host, '/refunds/', 'b')
        await asyncio.sleep(NEARLY_OVER)
        await site.send(host, '/refunds/', 'c')
        ports = [reached.port for reached in host.target.arrivals]
        first, second, third = ports
        assert first == second
        assert third != second

    play_site(tmp_path, story, ('refunds',), ImpatientTarget)


def test_a_target_that_refuses_says_when_to_come_back(tmp_path):
    async def story(site):
        host = site.hosts[0]
        host.target.mood = 'full'
        host.target.notice = {'Retry-After': '3'}
        answer = await site.send(host, '/refunds/', 'a')
        assert answer.code == 503
        assert float(answer.headers['Retry-After']) >= 3

    play_site(tmp_path, story, ('refunds',))
