"""What rare events cost each node, and how long things take."""

from typing import Final

from hillfield.experiments.sizing import design
from hillfield.experiments.sizing.amounts import Amount, Budget
from hillfield.experiments.sizing.records import Records

MESSAGES: Final = 'messages'
MEMBERSHIP: Final = 'membership'
HIGH: Final = 'p99'
MOST: Final = 'max'
KILOBYTES: Final = 'KB'
KILO: Final = 1000
SECONDS: Final = 's'
RACK: Final = 20
FLAT: Final = '24 or 16 real nodes; at 600 the flood takes some two hops more'


def budget_events(records: Records) -> Budget:
    """Return the bytes that each node receives by one event."""
    loss = records.at(MESSAGES, 'loss by nodes', design.NODES)
    return Budget(
        'One event, at each node',
        (
            _event(records, 'a restart', 'restart by nodes'),
            _event(records, 'a lost host', 'loss by nodes'),
            Amount(
                'a lost rack of 20 hosts',
                loss * RACK / KILO,
                KILOBYTES,
                '20 lost hosts, an upper bound',
                MESSAGES,
            ),
            _event(
                records, 'a lost failure domain of 75', 'domain lost by nodes'
            ),
            _event(
                records, 'regions meet after an hour', 'regions merged by nodes'
            ),
            _gossip(records),
        ),
    )


def budget_times(records: Records) -> Budget:
    """Return how long events take until each node knows."""
    return Budget(
        'Until every node knows',
        (
            _time(records, 'configuration', 'one-by-one', HIGH),
            _time(records, 'configuration', 'burst', HIGH),
            _time(records, 'configuration', 'relay-paused', HIGH),
            _time(records, MEMBERSHIP, 'node killed', MOST),
            _time(records, MEMBERSHIP, 'node left', MOST),
            _time(records, MEMBERSHIP, 'node started', MOST),
            _time(records, MEMBERSHIP, 'target drains', MOST),
        ),
    )


def _event(records: Records, name: str, line: str) -> Amount:
    amount = records.at(MESSAGES, line, design.NODES) / KILO
    basis = 'line over nodes, extrapolated to 600'
    return Amount(name, amount, KILOBYTES, basis, MESSAGES)


def _gossip(records: Records) -> Amount:
    amount = records.at(MESSAGES, 'evidence by nodes', design.NODES) / KILO
    return Amount(
        'one target that all nodes see fail at once',
        amount,
        'KB/s',
        'line over nodes, mean of the first 10 s, extrapolated to 600',
        MESSAGES,
    )


def _time(records: Records, experiment: str, name: str, share: str) -> Amount:
    amount = records.find(experiment, f'{name}: {share} s')
    return Amount(f'{name} ({share})', amount, SECONDS, FLAT, experiment)
