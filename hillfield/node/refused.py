"""Show operators which requests targets have ended under."""

from hillfield.clocks import monotonic
from hillfield.control.refusedpages import RefusedRequest
from hillfield.crashes.cases import Case
from hillfield.node.crashes import CrashBook

LIFTED = 'lifted by hand'


class RefusedView:
    """Show and lift what a node refuses; nothing where none are followed."""

    def __init__(self) -> None:
        """Show a node that follows no requests."""
        self.book: CrashBook | None = None

    def list_refused(self) -> tuple[RefusedRequest, ...]:
        """Return the requests under which targets have ended, by name."""
        book = self.book
        if book is None:
            return ()
        now = monotonic()
        cases = book.ledger.cases
        return tuple(
            _show(now, cases[fingerprint])
            for fingerprint in sorted(cases)
            if cases[fingerprint].ends
        )

    def lift(self, text: str) -> bool:
        """Find a request harmless; False: no such one is followed."""
        try:
            fingerprint = bytes.fromhex(text)
        except ValueError:
            return False
        book = self.book
        return book is not None and book.clear(fingerprint, LIFTED)


def _show(now: float, case: Case) -> RefusedRequest:
    wait = case.find_wait(now)
    return RefusedRequest(
        case.fingerprint.hex(),
        case.harmful,
        len(case.ends),
        tuple(sorted({gate for gate, _ in case.ends})),
        now - case.last,
        None if wait == float('inf') else wait,
    )
