"""Check that templates and accounts fit each other."""

from collections.abc import Iterator

from msgspec.structs import replace

from hillfield.configuration.documents.conversion import check_part
from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.editing.goals import Goal, PartKind, list_goals
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.fitting import check_uses
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.schema.templates import Template
from hillfield.configuration.serving.routes import RouteTable
from hillfield.configuration.storage.keys import Keys


def check_goals(
    goals: tuple[Goal, ...],
    standing: dict[str, Template],
) -> tuple[ConfigurationProblem, ...]:
    """Return what is wrong with goals, given the templates that stand."""
    templates = _overlay(goals, standing)
    problems: list[ConfigurationProblem] = []
    routes = _index(goals, templates)
    for goal in goals:
        if goal.wanted is not None:
            problems.extend(
                fault.locate(goal.kind, goal.name)
                for fault in check_part(goal.wanted)
            )
        if isinstance(goal.wanted, Template):
            problems.extend(_check_overlaps(goal.wanted, routes))
        if isinstance(goal.wanted, ClientAccount):
            problems.extend(
                fault.locate(goal.kind, goal.name)
                for fault in check_uses(goal.wanted, templates.get)
            )
    return tuple(problems)


def check_configuration(
    keys: Keys,
    configuration: Configuration,
) -> tuple[ConfigurationProblem, ...]:
    """Check files by themselves, without what stands in the store.

    An account's use of a service whose template isn't in the files can't
    be checked here, and is left to `apply`.
    """
    services = {template.service for template in configuration.templates}
    accounts = tuple(
        replace(account, use=_keep(account.use, services))
        for account in configuration.accounts
    )
    narrowed = replace(configuration, accounts=accounts)
    return check_goals(list_goals(keys, narrowed), {})


def _keep(
    uses: tuple[ServiceUse, ...],
    services: set[str],
) -> tuple[ServiceUse, ...]:
    return tuple(use for use in uses if use.service in services)


def _overlay(
    goals: tuple[Goal, ...],
    standing: dict[str, Template],
) -> dict[str, Template]:
    templates = dict(standing)
    for goal in goals:
        if isinstance(goal.wanted, Template):
            templates[goal.name] = goal.wanted
        elif goal.kind is PartKind.TEMPLATE:
            templates.pop(goal.name, None)
    return templates


def _index(
    goals: tuple[Goal, ...],
    templates: dict[str, Template],
) -> RouteTable:
    routes = RouteTable()
    if any(isinstance(goal.wanted, Template) for goal in goals):
        for template in templates.values():
            routes.add(template)
    return routes


def _check_overlaps(
    template: Template,
    routes: RouteTable,
) -> Iterator[ConfigurationProblem]:
    for route in routes.overlaps(template):
        other = route.template.service
        path = route.rule.path
        yield ConfigurationProblem(
            'template',
            f'{template.service}.route',
            f'{path} of {other} too',
            'give the requests to one of the two templates only',
        )
