"""Choose among equal addresses of one store."""

from hillfield.model import Address


class Route:
    """Name the address that the next call uses.

    >>> route = Route((Address('127.0.0.1', 1), Address('127.0.0.1', 2)))
    >>> route.turn()
    >>> str(route.peer)
    '127.0.0.1:2'
    """

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        """Start with the first address."""
        self._addresses = addresses
        self._turn = 0

    @property
    def peer(self) -> Address:
        """Return the address; there must be one."""
        return self._addresses[self._turn % len(self._addresses)]

    def turn(self) -> None:
        """Use the next address from now on, after a failure."""
        self._turn += 1
