"""An address is taken only if something can listen there."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.addresses import parse_address

LABELS = st.from_regex(r"[a-z0-9_]([a-z0-9_-]{0,8}[a-z0-9_])?", fullmatch=True)
PORTS = st.integers(1, 65_535)


@given(st.ip_addresses(v=4).map(str), PORTS)
def test_an_ipv4_address_and_a_port_are_taken(host, port):
    assert parse_address(f"{host}:{port}") == (host, port)


@given(st.lists(LABELS, max_size=4), PORTS)
def test_a_name_whose_last_label_has_a_letter_is_taken(labels, port):
    host = ".".join([*labels, "example"])
    assert parse_address(f"{host}:{port}") == (host, port)


@given(st.text() | st.text("hH0129.:[]-_%@/ \0é٣", max_size=12))
def test_any_text_is_refused_or_can_be_encoded_for_a_name_lookup(text):
    """Guards against `UnicodeError` of the `idna` codec at each connection."""
    address = parse_address(text)
    if address is not None:
        host, port = address
        host.encode("idna")
        assert parse_address(f"{host}:{port}") == address


@pytest.mark.parametrize("text", ["", ":", "h", "h:", ":80", "h:0", "1.2.3:80", "1:80"])
def test_text_without_a_host_or_a_port_is_refused(text):
    assert parse_address(text) is None
