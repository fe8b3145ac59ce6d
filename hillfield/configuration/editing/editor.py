"""Change the configuration in the store by compare-and-swap."""

from collections import deque
from collections.abc import Callable
from secrets import token_hex
from time import time
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.editing.changes import Signature
from hillfield.configuration.editing.goals import (
    Goal,
    choose_segment,
    list_goals,
    split_goals,
    want_account,
    want_template,
)
from hillfield.configuration.editing.judgement import (
    find_base_fault,
    find_fault,
)
from hillfield.configuration.editing.outcomes import (
    Applied,
    EditFailure,
    Reason,
    Refused,
    Unreachable,
)
from hillfield.configuration.editing.races import Basis
from hillfield.configuration.editing.reading import (
    decode_snapshot,
    read_all,
    read_snapshot,
)
from hillfield.configuration.editing.snapshots import DecodedSnapshot
from hillfield.configuration.editing.transaction import Transaction
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.storage.keys import Keys
from hillfield.store.ports import Store

CHANGE_BYTES: Final = 8
USERS_NAMED: Final = 5


class Authorship(Struct, frozen=True):
    """Say who edits, why, and what they knew.

    `over` is the store's revision up to which the author has seen all
    changes and means to replace them; None: what the files say.
    """

    author: str
    note: str = ''
    over: int | None = None


class Editor:
    """Apply and remove parts of the configuration of one cluster.

    Every method may be called again after any failure.
    """

    def __init__(
        self,
        store: Store,
        cluster: str,
        clock: Callable[[], float] = time,
        pause: float = 0.1,
    ) -> None:
        """Edit over a store; `pause` is the first wait between tries."""
        self.keys = Keys(cluster)
        self._store = store
        self._clock = clock
        self._pause = pause

    async def apply(
        self,
        configuration: Configuration,
        authorship: Authorship,
    ) -> Result[Applied, EditFailure]:
        """Make what the configuration names stand in the store.

        Parts that it doesn't name stay as they are.
        """
        goals = list_goals(self.keys, configuration)
        if not goals:
            return Ok(Applied(0, ()))
        since = authorship.over
        if since is None:
            since = configuration.based_on
        return await self._reach(goals, authorship, since)

    async def remove_account(
        self,
        name: str,
        authorship: Authorship,
    ) -> Result[Applied, EditFailure]:
        """Remove a client account."""
        goal = want_account(self.keys, name, None)
        return await self._reach((goal,), authorship, authorship.over)

    async def remove_template(
        self,
        service: str,
        authorship: Authorship,
    ) -> Result[Applied, EditFailure]:
        """Remove a template that no client account uses any more."""
        standing = await self.load()
        if standing.is_error():
            return Error(EditFailure(standing.error))
        users = [
            account.name
            for account in standing.ok.accounts()
            if account.find_use(service) is not None
        ]
        if users:
            return Error(EditFailure(_refuse_use(service, users)))
        goal = want_template(self.keys, service, None)
        return await self._reach((goal,), authorship, authorship.over)

    async def load(self) -> Result[DecodedSnapshot, Reason]:
        """Read all that stands in the store, without the history."""
        templates = await read_all(self._store, self.keys.templates)
        if templates.is_error():
            return Error(Unreachable(templates.error))
        accounts = await read_all(self._store, self.keys.accounts)
        if accounts.is_error():
            return Error(Unreachable(accounts.error))
        return decode_snapshot(self.keys, (templates.ok, accounts.ok))

    async def load_history(self) -> Result[DecodedSnapshot, Reason]:
        """Read the history."""
        reading = await read_all(self._store, self.keys.changes)
        if reading.is_error():
            return Error(Unreachable(reading.error))
        return decode_snapshot(self.keys, (reading.ok,))

    async def _reach(
        self,
        goals: tuple[Goal, ...],
        authorship: Authorship,
        since: int | None,
    ) -> Result[Applied, EditFailure]:
        signature = self._sign(authorship)
        segment = choose_segment(self.keys, goals, signature.change)
        reading = await read_snapshot(self._store, self.keys, goals, segment)
        if reading.is_error():
            return Error(EditFailure(reading.error))
        # All is checked before anything is written.
        basis = Basis(reading.ok, since)
        fault = find_base_fault(basis) or find_fault(goals, reading.ok, basis)
        if fault is not None:
            return Error(EditFailure(fault))
        return await self._write(goals, authorship, signature, reading.ok)

    async def _write(
        self,
        goals: tuple[Goal, ...],
        authorship: Authorship,
        signature: Signature,
        first: DecodedSnapshot,
    ) -> Result[Applied, EditFailure]:
        accepted: Applied | None = None
        now: DecodedSnapshot | None = first
        batches = deque(split_goals(goals))
        while batches:
            batch = batches.popleft()
            transaction = Transaction(self.keys, batch, signature, first)
            written = await transaction.run(self._store, self._pause, now)
            if written.is_error():
                return Error(EditFailure(written.error, accepted))
            accepted = _add(accepted, written.ok)
            signature = self._sign(authorship)
            # The next batch depends on what this one has written.
            now = None
        return Ok(accepted or Applied(0, ()))

    def _sign(self, authorship: Authorship) -> Signature:
        return Signature(
            change=token_hex(CHANGE_BYTES),
            author=authorship.author,
            at=self._clock(),
            note=authorship.note,
        )


def _add(earlier: Applied | None, later: Applied) -> Applied:
    if earlier is None:
        return later
    return Applied(
        max(earlier.revision, later.revision),
        earlier.changed + later.changed,
    )


def _refuse_use(service: str, users: list[str]) -> Refused:
    named = ', '.join(sorted(users)[:USERS_NAMED])
    problem = ConfigurationProblem(
        'template',
        service,
        f'{len(users)} client accounts that use it, such as {named}',
        'take the service out of these accounts first',
    )
    return Refused((problem,))
