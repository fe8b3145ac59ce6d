"""Rules of targets' words hold while nodes restart and targets are sick."""

import os

from pytest import mark

from hillfield.platform.tests.installation import play_site
from hillfield.platform.tests.soaking import Soak

FOUR = ('refunds',) * 4
# More seeds by hand: HILLFIELD_SOAK=FIRST-LAST.
FIRST, _, LAST = os.environ.get('HILLFIELD_SOAK', '1-3').partition('-')


@mark.parametrize('seed', range(int(FIRST), int(LAST) + 1))
def test_no_word_is_forgotten_in_a_soak(tmp_path, seed):
    async def story(site):
        soak = Soak(site, seed)
        broken = await soak.play()
        assert not broken, '\n'.join((*broken, *soak.schedule))
        served = [
            sent for sent in soak.sent.values() if sent.answer.code == 200
        ]
        assert served

    play_site(tmp_path, story, FOUR)
