"""A message to many members must not be dropped by a link with a short queue."""

import asyncio

import pytest

from corkcrank.links.datagrams import MAX_GROUP_MEMBERS, send_in_groups


class ShortQueueLink:
    """Link that drops datagrams while its queue is full; each event loop iteration empties it."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.queue: list[str] = []
        self.delivered: dict[str, bytes] = {}

    def send(self, data: bytes, address: str) -> None:
        if len(self.queue) >= self.capacity:
            return
        if not self.queue:
            asyncio.get_running_loop().call_soon(self.queue.clear)
        self.queue.append(address)
        self.delivered[address] = data


@pytest.mark.parametrize("members", [0, 1, 8, 9, 74, 350])
async def test_every_member_receives_the_message_over_a_link_with_a_short_queue(
    members: int,
) -> None:
    link = ShortQueueLink(MAX_GROUP_MEMBERS)
    addresses = [f"10.0.0.{number}:1" for number in range(members)]
    await send_in_groups(link, lambda: b"news", addresses, 0.05)
    assert set(link.delivered) == set(addresses)


async def test_each_group_receives_the_message_current_at_its_time() -> None:
    link = ShortQueueLink(MAX_GROUP_MEMBERS)
    built: list[int] = []

    def message() -> bytes:
        built.append(len(built))
        return str(built[-1]).encode()

    await send_in_groups(
        link, message, [str(number) for number in range(3 * MAX_GROUP_MEMBERS)], 0.02
    )
    assert set(link.delivered.values()) == {b"0", b"1", b"2"}
