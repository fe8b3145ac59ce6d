"""Pages that a node sends to operators' tools in JSON."""

from msgspec import Struct


class Readiness(Struct, frozen=True):
    """Say whether the node accepts requests; `reasons` say why it does not."""

    ready: bool
    reasons: tuple[str, ...] = ()


class TargetPage(Struct, frozen=True):
    """Show a target as known to a node.

    `heard` is the seconds since its newest heartbeat (None if it announces
    itself to another node), `load` is the load that the target reports.
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
    """Show the targets of the node's host, and all known of the fleet."""

    node: str
    own: tuple[TargetPage, ...]
    known: tuple[TargetPage, ...]


class TargetReport(Struct, frozen=True):
    """Explain the state of one target.

    `since` is the seconds since the state began, `share` the fraction that it
    receives of a healthy target's requests (0: none), `latency` is in seconds,
    `rate` is the limit in requests a second that the target names (None: no
    limit).
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
    """Explain why each target of a service receives requests or none.

    `floor` is the share of announced slots that ejection must leave; `slots`
    is the sum over the targets that the node uses, `rotation_slots` over those
    of them that are in rotation.
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

    `revision` is the newest store revision among the entries, `root` a digest
    of all entries, `adopted_at` the time of the newest one in wall seconds.
    """

    node: str
    revision: int
    root: str
    entries: int
    adopted_at: float


class MemberPage(Struct, frozen=True):
    """Show a node of the fleet as seen by this node."""

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
    """Name a field of a request, the content found, and the fix."""

    field: str
    found: str
    fix: str


class ErrorPage(Struct, frozen=True):
    """Say why a request was refused; `event` is the recorded event's code."""

    refusal: str
    step: str
    peer: str
    event: int
    problems: tuple[FieldProblem, ...]


class AnnouncedPage(Struct, frozen=True):
    """Show a target how it is listed and when to announce itself again.

    `heartbeat` and `expiry` are seconds.
    """

    target: str
    incarnation: int
    state: str
    heartbeat: float
    expiry: float
