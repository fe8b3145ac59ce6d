"""Handler for the capacity and load of services."""

from hillfield.control.answers import JsonHandler
from hillfield.control.loadpages import LoadPage


class LoadHandler(JsonHandler):
    """Show capacity, demand and free slots by service."""

    def get(self) -> None:
        """Respond with each service that callers of this node have requested."""
        services = self.ports.view.list_loads()
        self.answer(LoadPage(self.node.name, services))
