"""Tell a target's own errors from those of calls that it made."""


class FailedCalls:
    """Remember when a caller of this host was last told of a failure.

    The target makes its calls through the node of its host, as clients there
    do; the node can't tell the two apart. A call that failed while the target
    worked on a request is taken for the cause of an error.

    >>> calls = FailedCalls()
    >>> calls.note(10.0, 'fees')
    >>> calls.excuse(9.5, 'refunds'), calls.excuse(10.5, 'refunds')
    (True, False)
    >>> calls.excuse(9.5, 'fees')
    False
    """

    def __init__(self) -> None:
        """Start without any."""
        self._last: dict[str, float] = {}

    def note(self, now: float, service: str) -> None:
        """Note that a request to a service of this time has failed."""
        self._last[service] = now

    def excuse(self, since: float, service: str) -> bool:
        """Tell whether a request to any other service has failed since."""
        return any(
            failed >= since
            for called, failed in self._last.items()
            if called != service
        )
