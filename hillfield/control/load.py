"""What a node knows of its services' room."""

from hillfield.control.answers import Answering
from hillfield.control.loadpages import LoadPage


class LoadHandler(Answering):
    """Show capacity, demand and what is free, service by service."""

    def get(self) -> None:
        """Answer for each service that callers here have asked for."""
        services = self.ports.view.list_loads()
        self.answer(LoadPage(self.node.name, services))
