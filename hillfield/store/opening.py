"""Choose the adapter; the one module that knows which one is in use."""

from hillfield.events import Journal
from hillfield.store.gateway import GatewayStore
from hillfield.store.ports import OpenStore
from hillfield.store.store_settings import StoreSettings


def open_store(
    settings: StoreSettings,
    journal: Journal | None = None,
) -> OpenStore:
    """Open the platform's store; needs a running loop."""
    return GatewayStore(settings, journal)
