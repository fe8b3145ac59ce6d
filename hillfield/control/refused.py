"""Requests that the fleet refuses since targets ended under them."""

from http import HTTPStatus

from hillfield.announcements import Refusal
from hillfield.control.answers import Answering
from hillfield.control.pages import FieldProblem
from hillfield.control.refusedpages import RefusedPage


class RefusedHandler(Answering):
    """List the requests under which targets have ended."""

    def get(self) -> None:
        """Answer what this node knows of each."""
        requests = self.ports.view.list_refused()
        self.answer(RefusedPage(self.node.name, requests))


class LiftingHandler(Answering):
    """Lift one refusal, at all nodes."""

    def delete(self, fingerprint: str) -> None:
        """Find a request harmless: the target bears it now."""
        view = self.ports.view
        if view.lift(fingerprint):
            self.answer(RefusedPage(self.node.name, view.list_refused()))
            return
        problem = FieldProblem(
            'fingerprint',
            fingerprint,
            'write one that `hillfield refused` lists',
        )
        self.refuse(HTTPStatus.NOT_FOUND, Refusal.UNKNOWN, problem)
