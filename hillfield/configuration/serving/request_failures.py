"""Answers to requests that the configuration refuses."""

from http import HTTPStatus
from typing import Final

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.model import Outcome, RequestFailure, Step

RETRY_SECONDS: Final = 1.0


def refuse_missing(step: Step) -> RequestFailure:
    """Refuse for a while: the configuration has not all come yet."""
    failure = _refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        step,
        EventCode.CONFIGURATION_MISSING,
        'the configuration has not been loaded yet',
    )
    return replace(failure, retry_after=RETRY_SECONDS)


def refuse_caller(code: EventCode, detail: str) -> RequestFailure:
    """Refuse a caller that did not show who it is."""
    return _refuse(HTTPStatus.UNAUTHORIZED, Step.AUTHENTICATE, code, detail)


def refuse_quota(account: str, wait: float) -> RequestFailure:
    """Refuse what lies beyond an account's limit; `wait` in seconds."""
    failure = _refuse(
        HTTPStatus.TOO_MANY_REQUESTS,
        Step.ADMIT,
        EventCode.ACCOUNT_QUOTA_EXCEEDED,
        f'account {account} sends more than its limit over all nodes',
    )
    return replace(failure, retry_after=wait)


def refuse_service(account: str, service: str) -> RequestFailure:
    """Refuse a service that the account may not use."""
    return _refuse(
        HTTPStatus.FORBIDDEN,
        Step.ROUTE,
        EventCode.SERVICE_FORBIDDEN,
        f'account {account} may not use {service}',
    )


def refuse_route(path: str) -> RequestFailure:
    """Refuse a path without a route."""
    return _refuse(
        HTTPStatus.NOT_FOUND,
        Step.ROUTE,
        EventCode.ROUTE_UNKNOWN,
        f'no route for {path!r}',
    )


def refuse_method(method: str, allowed: tuple[str, ...]) -> RequestFailure:
    """Refuse a method that the path's routes don't take."""
    names = ', '.join(allowed)
    return _refuse(
        HTTPStatus.METHOD_NOT_ALLOWED,
        Step.ROUTE,
        EventCode.METHOD_UNKNOWN,
        f'{method!r} is not allowed here; use {names}',
    )


def _refuse(
    status: HTTPStatus,
    step: Step,
    event: EventCode,
    detail: str,
) -> RequestFailure:
    return RequestFailure(
        status=status,
        outcome=Outcome.NOT_RUN,
        step=step,
        peer='',
        event=event,
        detail=detail,
    )
