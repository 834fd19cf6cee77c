"""The newest known answer of the store about a table, as members report it to each other.

Only a few members ask the store. Every member reports the newest answer that it knows, with the
time on the store's clock, which never runs backwards, so that an answer counts once however often
it is forwarded.
If they reported only its age, each hop would omit the transit time, and the age of an answer that
circulates among members would stop rising.
"""

from dataclasses import dataclass

import msgspec


class ReportedStoreContact(msgspec.Struct, frozen=True, array_like=True):
    """An answer of the store at ``store_time``, received ``age`` seconds before the report."""

    store_time: float = float("-inf")
    age: float = float("inf")


@dataclass(frozen=True, slots=True)
class StoreContact:
    """An answer of the store, and its time of receipt on the local clock."""

    store_time: float = float("-inf")
    received_at: float = float("-inf")

    def to_report(self, now: float) -> ReportedStoreContact:
        """Return the contact as a report sent at ``now``."""
        return ReportedStoreContact(self.store_time, now - self.received_at)


def merge_reported_contact(
    known: StoreContact, reported: ReportedStoreContact, now: float
) -> StoreContact:
    """Return the newer of the known contact and one that a peer reported.

    >>> known = merge_reported_contact(StoreContact(), ReportedStoreContact(5.0, 0.2), now=10.0)
    >>> known, merge_reported_contact(known, ReportedStoreContact(5.0, 0.1), now=11.0) == known
    (StoreContact(store_time=5.0, received_at=9.8), True)
    """
    if reported.store_time <= known.store_time:
        return known
    return StoreContact(reported.store_time, now - reported.age)


def newest_contact(one: StoreContact, other: StoreContact) -> StoreContact:
    """Return the contact with the later time on the store's clock."""
    return max(one, other, key=lambda contact: contact.store_time)
