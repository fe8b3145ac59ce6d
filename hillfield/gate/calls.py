"""Tell a target's own errors from those caused by failed calls it made."""


class FailedCalls:
    """Record when requests that began on this host last failed, by service.

    A target makes its calls through the node of its host, as clients on that
    host do, and the node can't tell the two apart. A call that failed while
    the target worked on a request is taken for the cause of that request's
    error.

    >>> calls = FailedCalls()
    >>> calls.record(10.0, 'fees')
    >>> calls.explains_failure(9.5, 'refunds'), calls.explains_failure(10.5, 'refunds')
    (True, False)
    >>> calls.explains_failure(9.5, 'fees')
    False
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._last_failures: dict[str, float] = {}

    def record(self, now: float, service: str) -> None:
        """Record that a request to a service has failed."""
        self._last_failures[service] = now

    def explains_failure(self, since: float, service: str) -> bool:
        """Return whether a request to any other service has failed since."""
        return any(
            failed >= since
            for failed_service, failed in self._last_failures.items()
            if failed_service != service
        )
