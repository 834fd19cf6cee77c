"""Reads the next bytes of a body; a stall of the event loop is no silence of the sender."""

import asyncio

import aiohttp


async def read_any(content: aiohttp.StreamReader, idle_seconds: float) -> bytes:
    """Return the next bytes of a body, none at its end; raise ``TimeoutError`` if none come.

    After a stall of the event loop the timer may fire in the iteration in which the bytes that came
    meanwhile are read, so the connection is read once more before the sender counts as silent.
    """
    known = content.total_bytes
    try:
        async with asyncio.timeout(idle_seconds):
            return await content.readany()
    except TimeoutError:
        await asyncio.sleep(0)
        if content.total_bytes == known and not content.is_eof() and not content.exception():
            raise
        return await content.readany()
