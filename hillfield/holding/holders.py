"""What one request holds."""

from hillfield.holding.budgets import ByteBudget


class Holder:
    """Count one request's bytes, and give all of them back in the end."""

    def __init__(self, budget: ByteBudget, account: str) -> None:
        """Hold nothing yet."""
        self._budget = budget
        self._account = account
        self._kept = 0
        self._body = 0
        self._answer = 0
        self._released = False

    def reserve(self, kept: int, body: int) -> str:
        """Take room for a request; return why there is none, if so."""
        refusal = self._budget.find_refusal(self._account, kept, body)
        if not refusal:
            self._kept = kept
            self._body = body
            self._budget.requests.change(self._account, kept)
            self._budget.target.change(self._account, body)
        return refusal

    def note_body(self, size: int) -> None:
        """Count a body of unknown length by what has come of it."""
        if size > self._body and not self._released:
            self._budget.target.change(self._account, size - self._body)
            self._body = size

    def pass_body(self) -> None:
        """Give back what the node held: the body is all with the target."""
        self._budget.requests.change(self._account, -self._kept)
        self._kept = 0

    def add_answer(self, size: int) -> None:
        """Count bytes of the answer; they have come and can't be refused."""
        if not self._released:
            self._answer += size
            self._budget.answers.change(self._account, size)

    def drop_answer(self, size: int) -> None:
        """Count bytes that have gone to the caller, or are not needed."""
        self.add_answer(-min(size, self._answer))

    def end_work(self) -> None:
        """Give back the request: an answer is there, or none will be."""
        self.pass_body()
        self._budget.target.change(self._account, -self._body)
        self._body = 0

    def release(self) -> None:
        """Give back all, for good."""
        self.end_work()
        self.drop_answer(self._answer)
        self._released = True
