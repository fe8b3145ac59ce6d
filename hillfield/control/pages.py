"""What operators' tools read from a node, as sent in JSON."""

from msgspec import Struct


class Readiness(Struct, frozen=True):
    """Tell whether the node takes work; `reasons` say why it does not."""

    ready: bool
    reasons: tuple[str, ...] = ()


class TargetPage(Struct, frozen=True):
    """Show a target as a node knows it.

    `heard` is seconds since its newest heartbeat (None when it announces
    itself to another node), `load` its own report.
    """

    service: str
    address: str
    incarnation: int
    state: str
    region: str
    failure_domain: str
    host: str
    slots: int
    connection_limit: int
    weight: float
    load: float | None = None
    heard: float | None = None


class TargetsPage(Struct, frozen=True):
    """Show the targets of the node's host, and all of the fleet it knows."""

    node: str
    own: tuple[TargetPage, ...]
    known: tuple[TargetPage, ...]


class TargetReport(Struct, frozen=True):
    """Explain the treatment of one target.

    `since` is seconds since the state began, `share` what it receives of a
    healthy target's work (0: none), `latency` in seconds, `rate` the requests
    a second that the target says it takes (None: it names no limit).
    """

    target: str
    state: str
    since: float
    in_rotation: bool
    share: float
    evidence: str
    symptom: str
    floor_held: bool = False
    in_flight: int = 0
    limit: int = 0
    latency: float = 0
    rate: float | None = None


class ServicePage(Struct, frozen=True):
    """Explain why each target of a service receives work or none.

    `floor` is the share of announced slots that ejection leaves; `slots` are
    those of the targets that the node decides on, `rotation_slots` those of
    them that are in rotation.
    """

    node: str
    service: str
    floor: float
    slots: int
    rotation_slots: int
    queued: int
    targets: tuple[TargetReport, ...]


class ConfigurationPage(Struct, frozen=True):
    """Show the configuration in force at a node.

    `revision` is the store's newest revision among its entries, `root` a
    digest of them all, `adopted_at` wall seconds.
    """

    node: str
    revision: int
    root: str
    entries: int
    adopted_at: float


class MemberPage(Struct, frozen=True):
    """Show a node of the fleet as seen from here."""

    node: str
    alive: bool
    state: str
    control: str
    region: str
    failure_domain: str
    host: str


class MembersPage(Struct, frozen=True):
    """Show the fleet as one node sees it."""

    node: str
    members: tuple[MemberPage, ...]


class FieldProblem(Struct, frozen=True):
    """Name a field of a request, what stood there, and the fix."""

    field: str
    found: str
    fix: str


class ErrorPage(Struct, frozen=True):
    """Say why the node refused; `event` is the event that records it."""

    refusal: str
    step: str
    peer: str
    event: int
    problems: tuple[FieldProblem, ...]


class AnnouncedPage(Struct, frozen=True):
    """Tell a target how it is listed and when to announce itself again.

    `heartbeat` and `expiry` are seconds.
    """

    target: str
    incarnation: int
    state: str
    heartbeat: float
    expiry: float
