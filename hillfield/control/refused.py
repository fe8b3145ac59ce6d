"""Handlers for requests that the fleet refuses since they crash targets."""

from http import HTTPStatus

from hillfield.announcements import Refusal
from hillfield.control.answers import JsonHandler
from hillfield.control.pages import FieldProblem
from hillfield.control.refusedpages import RefusedPage


class RefusedHandler(JsonHandler):
    """List the requests that crashed targets."""

    def get(self) -> None:
        """Respond with this node's state of each request."""
        requests = self.ports.view.list_refused()
        self.answer(RefusedPage(self.node.name, requests))


class RefusalHandler(JsonHandler):
    """Lift one refusal, at all nodes."""

    def delete(self, fingerprint: str) -> None:
        """Mark a request as harmless, since the target no longer crashes on it."""
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
