"""What all attempts of a request share."""

from dataclasses import dataclass

from hillfield.proxy.pool import Pool
from hillfield.proxy.settings import ProxySettings
from hillfield.routing.ports import Dispatching


@dataclass(frozen=True, slots=True)
class AttemptTools:
    """Hold what every attempt of a request works with."""

    pool: Pool
    settings: ProxySettings
    dispatching: Dispatching
