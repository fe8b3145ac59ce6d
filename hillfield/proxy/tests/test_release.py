"""References to a request after its end."""

import gc
from weakref import ref

from hillfield.proxy.attempts import Attempt

POST = b'POST /c HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nbody'


async def test_ended_attempt_is_released_before_its_keepalive_check(
    proxy,
):
    # Each ended request, with its body, stayed referenced until the keepalive
    # check.
    await proxy.start(keepalive_within=10)
    before = {id(attempt) for attempt in list_attempts()}
    await proxy.ask(POST)
    gc.collect()
    left = [
        ref(attempt) for attempt in list_attempts() if id(attempt) not in before
    ]
    assert all(attempt() is None for attempt in left)


def list_attempts():
    return [
        attempt for attempt in gc.get_objects() if isinstance(attempt, Attempt)
    ]
