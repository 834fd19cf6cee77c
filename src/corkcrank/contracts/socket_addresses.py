"""Addresses of other processes, as ``ip:port`` texts that connections can be opened to."""

import ipaddress
from functools import lru_cache
from typing import NewType

SocketAddress = NewType("SocketAddress", str)
"""An IP address of one machine, in brackets if it is IPv6, with a port from 1 to 65535."""

MAX_PORT = 65_535
MAX_HOST_CHARACTERS = len("[ffff:ffff:ffff:ffff:ffff:ffff:255.255.255.255]")
MAX_ADDRESS_CHARACTERS = MAX_HOST_CHARACTERS + len(f":{MAX_PORT}")

MAX_CACHED_ADDRESSES = 4096
"""Maximum number of texts whose result is cached: each heartbeat states its sender's address."""

_BROADCAST = ipaddress.IPv4Address("255.255.255.255")


def parse_socket_address(text: str) -> SocketAddress | None:
    """Return a text as an address, ``None`` if no connection to it can be opened.

    An address with a zone id holds on one machine only, and is no part of a URL.

    >>> [parse_socket_address(text) for text in ("10.0.0.1:80", "[::1]:80", "::1:80", "host:80")]
    ['10.0.0.1:80', '[::1]:80', None, None]
    >>> [parse_socket_address(text) for text in ("10.0.0.1:0", "[fe80::1%[]:80", "0.0.0.0:80")]
    [None, None, None]
    """
    return _parse_short(text) if len(text) <= MAX_ADDRESS_CHARACTERS else None


@lru_cache(MAX_CACHED_ADDRESSES)
def _parse_short(text: str) -> SocketAddress | None:
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return None
    if not 1 <= int(port) <= MAX_PORT or len(host) > MAX_HOST_CHARACTERS:
        return None
    return SocketAddress(text) if _is_host(host) else None


def parse_member_address(text: str) -> SocketAddress | None:
    """Return a text as the address of a gateway, ``None`` if no datagram can be sent to it.

    >>> [parse_member_address(text) for text in ("10.0.0.1:80", "[::1]:80", "10.0.0.1:99999")]
    ['10.0.0.1:80', None, None]
    """
    address = parse_socket_address(text)
    return None if address is None or address.startswith("[") else address


def split_socket_address(address: str) -> tuple[str, int]:
    """Return the host without brackets, and the port.

    >>> split_socket_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)


def _is_host(host: str) -> bool:
    try:
        if host.startswith("[") and host.endswith("]"):
            long = ipaddress.IPv6Address(host[1:-1])
            if long.scope_id is not None or long.is_unspecified or long.is_multicast:
                return False
            return long.ipv4_mapped is None or _is_single(long.ipv4_mapped)
        return _is_single(ipaddress.IPv4Address(host))
    except ValueError:
        return False


def _is_single(address: ipaddress.IPv4Address) -> bool:
    """Return whether an address is that of a single machine."""
    return not (address.is_unspecified or address.is_multicast or address == _BROADCAST)
