"""Tell operators of accounts whose parameters no longer fit."""

from typing import Final

from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.fitting import check_uses
from hillfield.configuration.serving.template_set import TemplateSet
from hillfield.events import EventCode, Journal, Occurrence

MAXIMUM_NOTED: Final = 4096


class ClampReporter:
    """Record an event for each account once a change of templates."""

    def __init__(self, templates: TemplateSet, journal: Journal | None) -> None:
        """Start; without a journal nothing is recorded."""
        self._templates = templates
        self._journal = journal
        self._generation = 0
        self._noted: set[str] = set()

    def __call__(self, account: ClientAccount) -> None:
        """Look at an account that was decoded."""
        self._forget()
        if self._journal is None or account.name in self._noted:
            return
        for fault in check_uses(account, self._templates.find):
            detail = f'{fault.field}: found {fault.found}; {fault.fix}'
            self._journal.record(
                Occurrence(
                    EventCode.PARAMETER_CLAMPED,
                    account=account.name,
                    detail=detail,
                ),
            )
            self._noted.add(account.name)

    def _forget(self) -> None:
        generation = self._templates.generation
        if generation != self._generation or len(self._noted) > MAXIMUM_NOTED:
            self._noted.clear()
        self._generation = generation
