"""Settings of a node on loopback, for tests and tools."""

from typing import Final

from hillfield.model import Address, Locality
from hillfield.settings.node import NodeSettings
from hillfield.settings.sections import ListenSettings

ANY_PORT: Final = Address('127.0.0.1', 0)


def make_example() -> NodeSettings:
    """Return the settings; each address takes a free port."""
    return NodeSettings(
        name='n1',
        cluster='c',
        cluster_key='an-example-of-a-key',
        locality=Locality('north', 'a', 'h1'),
        listen=ListenSettings(ANY_PORT, ANY_PORT, ANY_PORT),
        stores=(ANY_PORT,),
    )
