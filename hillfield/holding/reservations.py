"""Bytes held for one request."""

from hillfield.holding.budgets import ByteBudget


class ByteReservation:
    """Count one request's bytes in the budget, and release them at its end."""

    def __init__(self, budget: ByteBudget, account: str) -> None:
        """Start without bytes."""
        self._budget = budget
        self._account = account
        self._kept = 0
        self._body = 0
        self._answer = 0
        self._released = False

    def reserve(self, kept: int, body: int) -> str:
        """Reserve a request's bytes; return why that is refused, if it is."""
        refusal = self._budget.find_refusal(self._account, kept, body)
        if not refusal:
            self._kept = kept
            self._body = body
            self._budget.requests.change(self._account, kept)
            self._budget.target.change(self._account, body)
        return refusal

    def record_body(self, size: int) -> None:
        """Count a body of unknown length by the bytes received so far."""
        if size > self._body and not self._released:
            self._budget.target.change(self._account, size - self._body)
            self._body = size

    def record_body_sent(self) -> None:
        """Release the node's bytes: the body was sent to the target."""
        self._budget.requests.change(self._account, -self._kept)
        self._kept = 0

    def add_answer(self, size: int) -> None:
        """Count received bytes of the answer, which can't be refused."""
        if not self._released:
            self._answer += size
            self._budget.answers.change(self._account, size)

    def release_answer(self, size: int) -> None:
        """Release answer bytes that were sent or are not needed."""
        self.add_answer(-min(size, self._answer))

    def release_request(self) -> None:
        """Release the request's bytes: it was answered or has failed."""
        self.record_body_sent()
        self._budget.target.change(self._account, -self._body)
        self._body = 0

    def release(self) -> None:
        """Release all bytes; later calls count nothing."""
        self.release_request()
        self.release_answer(self._answer)
        self._released = True
