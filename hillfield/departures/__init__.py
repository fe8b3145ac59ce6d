"""Departures of a host's targets, as other nodes remember them."""

from hillfield.departures.inquiry import DepartureInquiry, Voucher
from hillfield.departures.memory import DEPARTURE_SECONDS, DepartureMemory
from hillfield.departures.messages import (
    Departure,
    DepartureAnswer,
    DepartureCodec,
    DepartureNotice,
    DepartureQuestion,
)

__all__ = (
    'DEPARTURE_SECONDS',
    'Departure',
    'DepartureAnswer',
    'DepartureCodec',
    'DepartureInquiry',
    'DepartureMemory',
    'DepartureNotice',
    'DepartureQuestion',
    'Voucher',
)
