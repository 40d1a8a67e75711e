"""Parses the addresses of endpoints and instances that other programs list.

Rule: an address is checked before it becomes an endpoint: one to which nobody connects
would cost each request that chooses it a try. Connections are made over IPv4, so a host
is an IPv4 address or a name (RFC 1123 2.1, with underscores). Owns no state.
"""

import re
from ipaddress import AddressValueError, IPv4Address

from coursekeel.numbers import parse_port

__all__ = ["parse_address"]

# RFC 1035 2.3.4: 255 bytes on the wire.
_MAX_HOST_CHARACTERS = 253
_NAME = re.compile(
    r"(?:[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?\.)*"
    r"(?P<last>[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?)",
    re.IGNORECASE | re.ASCII,
)


def parse_address(text: str) -> tuple[str, int] | None:
    """The host and the port of ``HOST:PORT``; None if nothing can listen there."""
    host, _, port_text = text.rpartition(":")
    port = parse_port(port_text)
    return (host, port) if port is not None and _is_host(host) else None


def _is_host(text: str) -> bool:
    if len(text) > _MAX_HOST_CHARACTERS:
        return False
    name = _NAME.fullmatch(text)
    if name is None:
        return False
    # A last label of digits makes it an IPv4 address, and no name (RFC 1123 2.1).
    return not name["last"].isdigit() or _is_ipv4(text)


def _is_ipv4(text: str) -> bool:
    try:
        IPv4Address(text)
    except AddressValueError:
        return False
    return True
