"""What the fleet asks of the store, by occasion and number of nodes."""

from typing import Final

from msgspec import Struct

from hillfield.experiments.report_texts import show_cell
from hillfield.experiments.sizing import design
from hillfield.experiments.sizing.amounts import Amount, Budget
from hillfield.experiments.sizing.records import Records

CALLS: Final = 'store-calls'
# The nodes that are rivals for one domain's two slots when measured.
RIVALS: Final = 18
STEADY: Final = ('quiet', 'a failure domain lost')
SHARED: Final = ('start', 'store down', "the store's return")
RELAYS_ONLY: Final = '16 relays, as measured: no other node calls'


class Kind(Struct, frozen=True):
    """Name a kind of calls, its column and its bound at 600 nodes."""

    name: str
    column: str
    bound: float


READS: Final = Kind('reads', 'most reads in 1 s', design.MOST_READS)
WRITES: Final = Kind('writes', 'most writes in 1 s', design.MOST_WRITES)


def budget_store(records: Records, nodes: int, kind: Kind) -> Budget:
    """Return the most calls in one second, all nodes together."""
    amounts = (
        *(_keep(records, name, kind) for name in STEADY),
        *(_scale(records, name, kind, nodes) for name in SHARED),
    )
    worst = max(amounts, key=_read_amount)
    return Budget(
        f'Store {kind.name} at {nodes:,} nodes',
        amounts,
        (worst,),
        kind.bound,
    )


def _read_amount(amount: Amount) -> float:
    return amount.amount


def _keep(records: Records, name: str, kind: Kind) -> Amount:
    most = records.find(CALLS, f'{name}: {kind.column}')
    return Amount(name, most, kind.column, RELAYS_ONLY, CALLS)


def _scale(records: Records, name: str, kind: Kind, nodes: int) -> Amount:
    """Return an upper bound: all nodes call as the rivals of one domain."""
    relays = records.find(CALLS, f'{name}: {kind.column}')
    rivals = records.find(CALLS, f'rivals, {name}: {kind.column}')
    each = max(0, rivals - relays / design.DOMAINS) / RIVALS
    return Amount(
        name,
        relays + each * nodes,
        kind.column,
        f'{show_cell(relays)} by 16 relays, {show_cell(each)} by each rival',
        CALLS,
    )
