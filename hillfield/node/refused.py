"""Pages for operators on requests that crashed targets."""

from hillfield.clocks import monotonic
from hillfield.control.refusedpages import RefusedRequest
from hillfield.crashes.cases import Case
from hillfield.node.crashes import CrashTracker

LIFTED = 'lifted by hand'


class RefusedView:
    """Show and lift refusals; empty without a `crash_tracker`."""

    def __init__(self) -> None:
        """Start without a tracker of crashing requests."""
        self.crash_tracker: CrashTracker | None = None

    def list_refused(self) -> tuple[RefusedRequest, ...]:
        """Return the requests that crashed targets, sorted by fingerprint."""
        tracker = self.crash_tracker
        if tracker is None:
            return ()
        now = monotonic()
        cases = tracker.registry.cases
        return tuple(
            _make_page(now, cases[fingerprint])
            for fingerprint in sorted(cases)
            if cases[fingerprint].exits
        )

    def lift(self, text: str) -> bool:
        """Mark a request as harmless; False if it is unknown."""
        try:
            fingerprint = bytes.fromhex(text)
        except ValueError:
            return False
        tracker = self.crash_tracker
        return tracker is not None and tracker.clear(fingerprint, LIFTED)


def _make_page(now: float, case: Case) -> RefusedRequest:
    wait = case.compute_wait(now)
    return RefusedRequest(
        case.fingerprint.hex(),
        case.harmful,
        len(case.exits),
        tuple(sorted({gate for gate, _ in case.exits})),
        now - case.last_event,
        None if wait == float('inf') else wait,
    )
