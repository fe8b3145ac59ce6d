"""Request path: forwards callers' requests to targets, and the answers back."""

from hillfield.proxy.memory import freeze_startup_memory
from hillfield.proxy.meters import RequestMeter
from hillfield.proxy.ports import PlanSource, RequestHead
from hillfield.proxy.server import ProxyServer
from hillfield.proxy.settings import ProxySettings
from hillfield.proxy.unknownheaders import UnknownHeaders

__all__ = (
    'PlanSource',
    'ProxyServer',
    'ProxySettings',
    'RequestHead',
    'RequestMeter',
    'UnknownHeaders',
    'freeze_startup_memory',
)
