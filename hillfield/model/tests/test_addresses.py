"""Test network addresses."""

from hypothesis import given
from hypothesis import strategies as st

from hillfield.model import Address, parse_address


@given(st.ip_addresses(), st.integers(0, 65535))
def test_text_form_parses_back(number, port):
    """An address that is formatted and parsed stays the same."""
    address = Address(str(number), port)
    assert parse_address(str(address)).ok == address


def test_name_is_refused():
    """Host names are not accepted as IP numbers."""
    assert parse_address('localhost:80').is_error()


def test_port_out_of_range_is_refused():
    """A port has 16 bits."""
    assert parse_address('127.0.0.1:70000').is_error()
    assert parse_address('127.0.0.1:').is_error()
