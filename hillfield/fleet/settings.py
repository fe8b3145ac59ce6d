"""Settings of a node's part in the fleet."""

from msgspec import Struct

from hillfield.link import PlannedFault
from hillfield.model import Address, Locality


class FleetSettings(Struct, frozen=True):
    """Settings of one node of a fleet; times are in seconds.

    `tick` is the interval of periodic tasks, `incarnation` the wall clock in
    milliseconds at the start of the process. `suspect_after` is the silence
    after which a neighbour counts as unreachable, `link_dead_after` that
    after which its link is closed. `orphan_hold` is how long the targets of a
    lost node are kept, `settle` how long a started node collects
    announcements before it replaces the targets of its earlier incarnation,
    `pull_again` after how long an entry that a peer did not send is requested
    from another one. With `sparse`, only holders of a relay slot link to
    other failure domains and send them their own domain's updates, since
    bytes between domains cost much; `dear_flush_after` is how long these
    updates are batched. `faults` are network faults injected by tests.
    """

    cluster: str
    key: bytes
    name: str
    incarnation: int
    locality: Locality
    link: Address
    control: Address
    caller: Address
    seeds: tuple[Address, ...] = ()
    tick: float = 0.1
    heartbeat: float = 1
    suspect_after: float = 3
    link_dead_after: float = 10
    orphan_hold: float = 10
    forget_after: float = 60
    settle: float = 3
    flush_after: float = 0.05
    dear_flush_after: float = 0.05
    evidence_life: float = 10
    pull_again: float = 2
    redial_after: float = 1
    redial_limit: float = 30
    redial_alone: float = 5
    dialled_links: int = 3
    sparse: bool = False
    accepted_links: int = 16
    addresses_kept: int = 64
    message_limit: int = 1310720
    page_limit: int = 49152
    queue_limit: int = 256
    faults: tuple[PlannedFault, ...] = ()
