"""What control needs at the design size, worked out from measured figures."""

from typing import Final

from hillfield.experiments.sizing import design
from hillfield.experiments.sizing.amounts import Amount, Budget, sum_up
from hillfield.experiments.sizing.records import Records

FULL: Final = 'full-state'
FLEET: Final = 'fleet'
MESSAGES: Final = 'messages'
ANNOUNCEMENTS: Final = 'announcements'
MEMORY: Final = 'anonymous MB'
PERCENT: Final = 100
MICRO: Final = 1e-6
TICKS: Final = 10
RECORD_BYTES: Final = 250
HEARTBEAT_BYTES: Final = 47
# Of a message: IP and TCP with time stamps, the socket's frame, the answer.
HEAD_BYTES: Final = 112
MEGABYTES: Final = 'MB'
CORE: Final = '% of a core'
RATE: Final = 'B/s'


def budget_memory(records: Records) -> Budget:
    """Return what a node's process holds that no file backs."""
    request = _grown(records, '', 'request path')
    control = (
        _step(records, 'request path', 'node, not started', "control's code"),
        _step(
            records,
            'node, not started',
            'idle node',
            'sockets, threads and objects of an idle node',
        ),
        _step(
            records,
            'idle node',
            '+ 600 nodes, 7,900 targets',
            'members and targets of 600 nodes',
        ),
        _step(
            records,
            '+ 600 nodes, 7,900 targets',
            '+ 59,000 accounts',
            'configuration: 260 templates, 59,000 accounts',
        ),
        Amount(
            'time line, full',
            records.find(MESSAGES, 'time line: MB when full'),
            MEGABYTES,
            '4,000 events',
            MESSAGES,
        ),
    )
    summed = sum_up('**control**', control)
    services = _step(
        records,
        '+ 59,000 accounts',
        '+ all 260 services in use',
        'request path: dispatchers and health of 260 services',
    )
    code = Amount(
        "request path's code, libraries, interpreter",
        request,
        MEGABYTES,
        'a process that imports only these',
        FULL,
    )
    whole = sum_up('**process**', (summed, code, services))
    return Budget(
        'Memory of a node',
        (*control, summed, code, services, whole),
        (summed,),
        design.MOST_MEMORY,
    )


def budget_processor(records: Records) -> Budget:
    """Return the processor time of control at a node."""
    control = (
        Amount(
            'ticks, links, time line: quiet, 59,000 accounts',
            records.at(FLEET, 'processor by accounts', design.ACCOUNTS),
            CORE,
            '24 real nodes at 59,000 accounts',
            FLEET,
        ),
        _more_nodes(records),
        _announcements(records),
        _members(records),
        Amount(
            'configuration: 1,400 changes a day',
            records.slope(FLEET, 'processor by changes/s')
            * design.CHANGES
            / design.DAY,
            CORE,
            'slope over changes a second x 0.0162/s',
            FLEET,
        ),
        Amount(
            'joining: 1.35 starts a day and node',
            records.find(FLEET, 'join: processor: amount')
            * design.RESTARTS
            / design.NODES
            / design.DAY
            * PERCENT,
            CORE,
            'processor of one start at 59,000 accounts x starts',
            FLEET,
        ),
    )
    summed = sum_up('**control**', control)
    services = Amount(
        'ticks of all 260 services in use, no requests',
        records.find(FULL, '+ all 260 services in use: processor %')
        - records.find(FULL, '+ 59,000 accounts: processor %'),
        CORE,
        'one real node, before and after its first use of each service',
        FULL,
    )
    both = sum_up('**control and idle services**', (summed, services))
    return Budget(
        'Processor of a node',
        (*control, summed, services, both),
        (summed, both),
        design.MOST_PROCESSOR,
    )


def budget_bytes(records: Records) -> Budget:
    """Return the bytes that a node receives; it sends as many."""
    quiet = records.at(MESSAGES, 'quiet by nodes', design.NODES)
    control = (
        Amount(
            'heartbeats on some six links',
            quiet,
            RATE,
            'slope over nodes, extrapolated from 72',
            MESSAGES,
        ),
        Amount(
            'heads of IP, TCP and frames',
            quiet / HEARTBEAT_BYTES * HEAD_BYTES,
            RATE,
            'reckoned: 112 bytes a message of 47; not measured',
            MESSAGES,
        ),
        _daily(records, 'restart by nodes', design.RESTARTS, '810 restarts'),
        _daily(records, 'loss by nodes', design.FAILURES, '22 failures'),
        Amount(
            'configuration: 1,400 changes a day',
            records.slope(FLEET, 'received by changes/s')
            * design.CHANGES
            / design.DAY,
            RATE,
            'slope over changes a second x 0.0162/s',
            FLEET,
        ),
        Amount(
            'joining: 1.35 starts a day and node',
            records.find(FLEET, 'join: received: amount')
            * design.RESTARTS
            / design.NODES
            / design.DAY,
            RATE,
            'bytes of one start at 59,000 accounts x starts',
            FLEET,
        ),
    )
    one_way = sum_up('received', control)
    both = Amount(
        '**received and sent**',
        one_way.amount + one_way.amount,
        RATE,
        'twice the above: each byte is sent once',
    )
    return Budget(
        'Bytes of a node, mean of a day',
        (*control, one_way, both),
        (both,),
        design.MOST_BYTES,
    )


def _more_nodes(records: Records) -> Amount:
    more = design.NODES - 24
    spent = records.slope(MESSAGES, 'tick by nodes') * more * TICKS
    return Amount(
        'membership: ticks with 600 nodes instead of 24',
        spent * MICRO * PERCENT,
        CORE,
        'slope of a tick over 75 to 600 nodes x 576 nodes x 10/s',
        MESSAGES,
    )


def _announcements(records: Records) -> Amount:
    cost = records.find(ANNOUNCEMENTS, 'announcement: processor: amount')
    rate = design.TARGETS / design.NODES
    return Amount(
        'announcements: 13.2 targets, one a second each',
        cost * rate * MICRO * PERCENT,
        CORE,
        'processor of one announcement over HTTP x 13.2/s',
        ANNOUNCEMENTS,
    )


def _members(records: Records) -> Amount:
    restart = records.at(MESSAGES, 'restart by nodes', design.NODES)
    loss = records.at(MESSAGES, 'loss by nodes', design.NODES)
    a_day = restart * design.RESTARTS + loss * design.FAILURES
    cost = records.find(FULL, 'record changed: processor: amount')
    spent = a_day / RECORD_BYTES * cost * MICRO
    return Amount(
        'membership: 810 restarts and 22 failures a day',
        spent / design.DAY * PERCENT,
        CORE,
        'bytes a day / 250 a record x processor of a changed record',
        FULL,
    )


def _daily(records: Records, line: str, times: int, name: str) -> Amount:
    each = records.at(MESSAGES, line, design.NODES)
    return Amount(
        f'membership: {name} a day',
        each * times / design.DAY,
        RATE,
        f'{each:.0f} bytes each at 600 nodes, extrapolated from 72',
        MESSAGES,
    )


def _grown(records: Records, before: str, after: str) -> float:
    held = records.find(FULL, f'{after}: {MEMORY}')
    if not before:
        return held
    return held - records.find(FULL, f'{before}: {MEMORY}')


def _step(records: Records, before: str, after: str, name: str) -> Amount:
    amount = _grown(records, before, after)
    basis = f'from "{before}" to "{after}", one real node'
    return Amount(name, amount, MEGABYTES, basis, FULL)
