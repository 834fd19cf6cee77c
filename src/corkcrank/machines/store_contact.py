"""The newest contact with the store about a table, as members pass it on to each other.

Only few members ask the store. All tell the newest answer that they know of, marked with
the store's own steady clock, so that an answer counts once however often it is passed on:
an age alone would be understated by each way and rise no more.
"""

from dataclasses import dataclass

import msgspec


class ReportedStoreContact(msgspec.Struct, frozen=True, array_like=True):
    """An answer of the store at ``store_time``, heard ``age`` seconds before it is reported."""

    store_time: float = float("-inf")
    age: float = float("inf")


@dataclass(frozen=True, slots=True)
class StoreContact:
    """An answer of the store, and when it was heard on the own steady clock."""

    store_time: float = float("-inf")
    heard_at: float = float("-inf")

    def reported(self, now: float) -> ReportedStoreContact:
        """Return the contact as it is reported now."""
        return ReportedStoreContact(self.store_time, now - self.heard_at)


def newer_contact(known: StoreContact, reported: ReportedStoreContact, now: float) -> StoreContact:
    """Return what is known once a contact was reported.

    >>> known = newer_contact(StoreContact(), ReportedStoreContact(5.0, 0.2), now=10.0)
    >>> known, newer_contact(known, ReportedStoreContact(5.0, 0.1), now=11.0) == known
    (StoreContact(store_time=5.0, heard_at=9.8), True)
    """
    if reported.store_time <= known.store_time:
        return known
    return StoreContact(reported.store_time, now - reported.age)


def newest_contact(one: StoreContact, other: StoreContact) -> StoreContact:
    """Return the contact of the later moment on the store's clock."""
    return max(one, other, key=lambda contact: contact.store_time)
