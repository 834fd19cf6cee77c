"""Addresses of workers, and the URLs of requests to them."""

import aiohttp
from yarl import URL


def address_of(response: aiohttp.ClientResponse) -> str:
    """Return the ``ip:port`` of a response's sender."""
    return f"{response.url.host}:{response.url.port}"


def exact_url(address: str, target: str) -> URL:
    """Return a URL whose path holds a whole request target, which the library sends unchanged.

    Parsed as a URL, a target would lose an empty query and a fragment.

    >>> exact_url("127.0.0.1:80", "/a?").raw_path_qs
    '/a?'
    """
    return URL.build(scheme="http", authority=address, path=target, encoded=True)
