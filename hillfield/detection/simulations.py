"""Simulations of detection: services, disturbances and detectors."""

from enum import StrEnum
from typing import Final

from msgspec import Struct

from hillfield.detection.disturbances import Disturbance
from hillfield.model import ServicePolicy


class DetectorKind(StrEnum):
    """Name a kind of detector."""

    HEALTH = 'health'
    BASELINE = 'baseline'


class ServiceSize(Struct, frozen=True):
    """Describe a service.

    `rate` is in requests per second over all nodes, `median` the usual
    seconds to answer one.
    """

    name: str
    targets: int
    slots: int
    domains: int
    nodes: int
    rate: float
    median: float = 0.03


KESTRELMOOR_TARGETS: Final = 15
KESTRELMOOR_RATE: Final = 200
KESTRELMOOR: Final = ServiceSize(
    'kestrelmoor',
    KESTRELMOOR_TARGETS,
    slots=4,
    domains=3,
    nodes=5,
    rate=KESTRELMOOR_RATE,
)
LOST_PROPERTY_TARGETS: Final = 25
LOST_PROPERTY_RATE: Final = 300
LOST_PROPERTY: Final = ServiceSize(
    'lost-property',
    LOST_PROPERTY_TARGETS,
    slots=3,
    domains=4,
    nodes=8,
    rate=LOST_PROPERTY_RATE,
)


class Simulation(Struct, frozen=True):
    """Describe one simulated run."""

    size: ServiceSize
    disturbance: Disturbance
    seed: int
    detector: DetectorKind = DetectorKind.HEALTH
    policy: ServicePolicy = ServicePolicy('measured')
    seconds: float = 36
    probes: bool = True
