"""Network addresses by IP number."""

from ipaddress import ip_address
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

MAXIMUM_PORT: Final = 65535
PORT_DIGITS: Final = 5


class Address(Struct, frozen=True, order=True):
    """Hold an IP number and a TCP port.

    >>> str(Address('127.0.0.1', 8080))
    '127.0.0.1:8080'
    >>> str(Address('::1', 8080))
    '[::1]:8080'
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the usual text form."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Result[Address, str]:
    """Parse `ip:port`; the error says what is wrong and how to fix it.

    >>> parse_address('127.0.0.1:80').ok
    Address(ip='127.0.0.1', port=80)
    >>> parse_address('localhost:80').error
    "'localhost' is not an IP number; write one such as 127.0.0.1:8080"
    """
    ip_text, colon, port_text = text.rpartition(':')
    if not colon:
        return Error(
            f'{text!r} has no port; write one such as 127.0.0.1:8080',
        )
    try:
        number = ip_address(ip_text.strip('[]'))
    except ValueError:
        return Error(
            f'{ip_text!r} is not an IP number;'
            ' write one such as 127.0.0.1:8080',
        )
    port = _parse_port(port_text)
    return port.map(lambda known: Address(str(number), known))


def normalize_authority(text: str) -> str:
    """Return the name that a Host header gives, by which requests are routed.

    >>> normalize_authority('TILL.example:80')
    'till.example'
    """
    return text.partition(':')[0].lower()


def _parse_port(text: str) -> Result[int, str]:
    if not text.isascii() or not text.isdigit():
        return Error(f'{text!r} is not a port; write 0 to 65535')
    # The length goes first: int() refuses numbers of thousands of digits.
    if len(text) > PORT_DIGITS or int(text) > MAXIMUM_PORT:
        shown = text[: PORT_DIGITS + 1]
        return Error(f'port {shown} is too large; write 0 to 65535')
    return Ok(int(text))
