"""Find the route of a request among those of all templates."""

from collections import Counter

from msgspec import Struct

from hillfield.configuration.schema.paths import (
    PARAMETER,
    REST,
    Pattern,
    Shape,
    parse_pattern,
    split_path,
)
from hillfield.configuration.schema.templates import RouteRule, Template


class BoundRoute(Struct, frozen=True):
    """Hold a route with the template that it belongs to."""

    template: Template
    rule: RouteRule


class NoRoute(Struct, frozen=True):
    """Say that no route matched; `methods` are those that would have."""

    methods: tuple[str, ...]


class RouteTable:
    """Index routes by the shape and text of their patterns.

    A look-up renders the path once for each shape known under its first
    segment and asks one map; its cost doesn't grow with the routes.
    """

    def __init__(self) -> None:
        """Start without routes."""
        self._routes: dict[str, tuple[BoundRoute, ...]] = {}
        self._counts: dict[str, Counter[Shape]] = {}
        self._shapes: dict[str, tuple[Shape, ...]] = {}

    def __len__(self) -> int:
        """Count the routes."""
        return sum(len(routes) for routes in self._routes.values())

    def add(self, template: Template) -> None:
        """Add the routes of a template."""
        for rule in template.route:
            pattern = parse_pattern(rule.path)
            if pattern is None:
                continue
            known = self._routes.get(pattern.text, ())
            # Sorted, so that the order of adoption makes no difference.
            self._routes[pattern.text] = tuple(
                sorted((*known, BoundRoute(template, rule)), key=_order),
            )
            self._count(pattern, 1)

    def remove(self, template: Template) -> None:
        """Remove the routes of a template."""
        for rule in template.route:
            pattern = parse_pattern(rule.path)
            if pattern is None:
                continue
            left = tuple(
                route
                for route in self._routes.get(pattern.text, ())
                if route.rule is not rule
            )
            self._routes[pattern.text] = left
            if not left:
                self._routes.pop(pattern.text)
            self._count(pattern, -1)

    def find(self, method: str, path: str) -> BoundRoute | NoRoute:
        """Return the most specific route of a path and method."""
        segments = split_path(path)
        if not segments:
            return NoRoute(())
        others: list[str] = []
        for shape in self._candidates(segments[0]):
            text = shape.render(segments)
            if text is None:
                continue
            for route in self._routes.get(text, ()):
                if method in route.rule.methods:
                    return route
                others.extend(route.rule.methods)
        return NoRoute(tuple(sorted(set(others))))

    def overlaps(self, template: Template) -> tuple[BoundRoute, ...]:
        """Return other templates' routes that take the same requests."""
        found: list[BoundRoute] = []
        for rule in template.route:
            pattern = parse_pattern(rule.path)
            known = self._routes.get(pattern.text, ()) if pattern else ()
            found.extend(
                route
                for route in known
                if route.template.service != template.service
                and set(route.rule.methods) & set(rule.methods)
            )
        return tuple(found)

    def _candidates(self, first: str) -> tuple[Shape, ...]:
        literal = self._shapes.get(first, ())
        opened = self._shapes.get(PARAMETER, ())
        rest = self._shapes.get(REST, ())
        if opened or rest:
            return (*literal, *opened, *rest)
        return literal

    def _count(self, pattern: Pattern, step: int) -> None:
        counts = self._counts.setdefault(pattern.first, Counter())
        counts[pattern.shape] += step
        if not counts[pattern.shape]:
            counts.pop(pattern.shape)
        self._shapes[pattern.first] = tuple(sorted(counts))
        if not counts:
            self._counts.pop(pattern.first)
            self._shapes.pop(pattern.first)


def _order(route: BoundRoute) -> tuple[str, str]:
    return (route.template.service, route.rule.name)
