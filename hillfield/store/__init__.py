"""The platform's key-value service: ports, following, retries, settings."""

from hillfield.store.following import FollowSettings
from hillfield.store.retries import RetrySettings
from hillfield.store.store_settings import StoreSettings

__all__ = ('FollowSettings', 'RetrySettings', 'StoreSettings')
