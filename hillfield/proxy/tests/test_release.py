"""What is held of a request after its end."""

import gc
from weakref import ref

from hillfield.proxy.attempts import Attempt

POST = b'POST /c HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nbody'


async def test_an_attempt_that_has_ended_is_not_kept_until_its_sign_was_due(
    path,
):
    # Each ended request, with its body, was held for the time of a sign.
    await path.start(sign_within=10)
    before = {id(kept) for kept in list_attempts()}
    await path.ask(POST)
    gc.collect()
    left = [ref(kept) for kept in list_attempts() if id(kept) not in before]
    assert all(kept() is None for kept in left)


def list_attempts():
    return [kept for kept in gc.get_objects() if isinstance(kept, Attempt)]
