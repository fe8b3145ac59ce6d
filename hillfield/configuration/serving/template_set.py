"""The templates in force and the routes they make."""

from hillfield.configuration.schema.templates import Template
from hillfield.configuration.serving.routes import (
    BoundRoute,
    NoRoute,
    RouteTable,
)


class TemplateSet:
    """Hold the template of each service."""

    def __init__(self) -> None:
        """Start empty."""
        self.generation = 0
        self._templates: dict[str, Template] = {}
        self._routes = RouteTable()

    def __len__(self) -> int:
        """Count the templates."""
        return len(self._templates)

    def put(self, service: str, template: Template | None) -> None:
        """Replace or remove a service's template and its routes only."""
        earlier = self._templates.pop(service, None)
        if earlier is not None:
            self._routes.remove(earlier)
        if template is not None:
            self._templates[service] = template
            self._routes.add(template)
        self.generation += 1

    def find(self, service: str) -> Template | None:
        """Return the template of a service."""
        return self._templates.get(service)

    def find_route(self, method: str, path: str) -> BoundRoute | NoRoute:
        """Return the route of a request."""
        return self._routes.find(method, path)

    def services(self) -> tuple[str, ...]:
        """Return the names of all services, sorted."""
        return tuple(sorted(self._templates))
