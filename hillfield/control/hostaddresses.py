"""Check whether addresses belong to the node's own host."""

from ipaddress import IPv4Address, IPv6Address, ip_address

from hillfield.announcements import AnnouncementProblem, Refusal
from hillfield.model import Address
from hillfield.settings import NodeSettings


class HostAddresses:
    """Check senders and announced addresses against the host's addresses.

    A sender on loopback is always on this host. An announced loopback address
    would mean a different host at each node that reads it, so it is accepted
    only if the nodes themselves are linked over loopback.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Collect the addresses that the node listens on and `own_ips`."""
        listen = settings.listen
        texts = (
            listen.callers.ip,
            listen.control.ip,
            listen.links.ip,
            *settings.announcements.own_ips,
        )
        self._own = {_normalise(text) for text in texts}
        self._is_local = ip_address(listen.links.ip).is_loopback

    def check_sender(self, text: str) -> AnnouncementProblem | None:
        """Return a problem if the sender is not on this host."""
        number = _normalise(text)
        if number.is_loopback or number in self._own:
            return None
        return AnnouncementProblem(
            Refusal.FOREIGN,
            'sender',
            text,
            'announce to the node of the same host, or name the address in'
            ' announcements.own_ips',
        )

    def check_announced(self, address: Address) -> AnnouncementProblem | None:
        """Return a problem if the address is not of this host or has no port."""
        if address.port == 0:
            return AnnouncementProblem(
                Refusal.MALFORMED,
                'address',
                repr(str(address)),
                'write the port that the target listens on, 1 to 65535',
            )
        number = _normalise(address.ip)
        if number.is_loopback and self._is_local:
            return None
        if _is_reachable(address.ip) and number in self._own:
            return None
        return AnnouncementProblem(
            Refusal.FOREIGN,
            'address',
            repr(str(address)),
            'announce an address of this host that other hosts reach, or'
            ' name it in announcements.own_ips',
        )


def _normalise(text: str) -> IPv4Address | IPv6Address:
    number = ip_address(text.partition('%')[0])
    if isinstance(number, IPv6Address) and number.ipv4_mapped:
        return number.ipv4_mapped
    return number


def _is_reachable(text: str) -> bool:
    number = _normalise(text)
    return not (number.is_loopback or number.is_unspecified)
