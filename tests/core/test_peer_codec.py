"""Peer messages survive encoding and decoding, and damaged bytes raise a typed error."""

import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from corkcrank.contracts.identifiers import Address, MemberId, WorkerId
from corkcrank.contracts.messages import LoadReport, WorkerEntry
from corkcrank.links.peer_codec import (
    PeerDecodeError,
    decode_digest,
    decode_heartbeat,
    encode_digest,
    encode_heartbeat,
)
from corkcrank.zones.digest import (
    Directory,
    MemberEntry,
    Membership,
    WorkerLoad,
    ZoneDigest,
    content_hash,
)
from corkcrank.zones.peer_messages import Enclosures, Heartbeat, KnownTables

TEXT = st.text(st.characters(codec="utf-8", exclude_categories=["Cs", "Cc"]), max_size=12)
COUNT = st.integers(0, 65_535)

REPORTS = st.builds(
    LoadReport,
    worker=TEXT.map(WorkerId),
    leaving=st.booleans(),
    running=COUNT,
    waiting=COUNT,
    slots=COUNT,
    boot=TEXT,
    models=st.lists(TEXT, max_size=3).map(tuple),
    fence=st.integers(0, 1 << 40),
)

HEARTBEATS = st.builds(
    Heartbeat,
    member=TEXT.map(MemberId),
    role=TEXT,
    zone=TEXT,
    address=TEXT.map(Address),
    configuration_version=st.integers(0, 1 << 40),
    reports=st.lists(REPORTS, max_size=4).map(tuple),
)


@given(heartbeat=HEARTBEATS)
def test_heartbeats_round_trip(heartbeat: Heartbeat) -> None:
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


def tables(count: int) -> KnownTables:
    workers = tuple(
        WorkerEntry(WorkerId(f"w{number}"), "llm", "zone", "1.1.1.1:1") for number in range(count)
    )
    directory = Directory(workers, 7)
    membership = Membership((MemberEntry(MemberId("m"), "gateway", Address("1.1.1.1:2")),))
    return KnownTables(directory, content_hash(directory), membership, content_hash(membership))


@given(count=st.integers(0, 20), data=st.data(), enclosed=st.booleans())
def test_digests_round_trip(count: int, data: st.DataObject, enclosed: bool) -> None:
    known = tables(count)
    loads = tuple(
        WorkerLoad(
            row.worker,
            data.draw(COUNT),
            data.draw(COUNT),
            data.draw(COUNT),
            tuple(sorted(data.draw(st.sets(st.sampled_from(("a", "b", "c")))))),
            data.draw(st.booleans()),
            data.draw(st.text("0123456789abcdef", max_size=8)),
        )
        for row in known.directory.workers
    )
    digest = ZoneDigest("zone", 3, 4, 5, known.directory_hash, 8, known.membership_hash, loads)
    encoded = encode_digest(digest, known, Enclosures(enclosed, enclosed))
    receiver = KnownTables() if enclosed else known
    decoded = decode_digest(encoded, receiver)
    assert decoded.loads == loads
    assert decoded.order_key == (3, 4)
    assert (decoded.directory == known.directory) is enclosed
    if not enclosed and count:
        assert decode_digest(encoded, KnownTables()).loads == ()


@settings(max_examples=500)
@given(data=st.binary(max_size=200))
def test_damaged_messages_give_a_typed_error_or_a_message(data: bytes) -> None:
    for decode in (decode_heartbeat, lambda raw: decode_digest(raw, KnownTables())):
        with contextlib.suppress(PeerDecodeError):
            decode(data)


@settings(max_examples=300)
@given(heartbeat=HEARTBEATS, place=st.integers(0, 1000), value=st.integers(0, 255))
def test_one_damaged_byte_gives_a_typed_error_or_a_message(
    heartbeat: Heartbeat, place: int, value: int
) -> None:
    encoded = bytearray(encode_heartbeat(heartbeat))
    encoded[place % len(encoded)] = value
    with contextlib.suppress(PeerDecodeError):
        decode_heartbeat(bytes(encoded))


def test_a_message_of_another_kind_gives_a_typed_error_or_a_message() -> None:
    known = tables(5)
    digest = ZoneDigest("zone", 3, 4, 5, known.directory_hash, 8, known.membership_hash, ())
    with contextlib.suppress(PeerDecodeError):
        decode_heartbeat(encode_digest(digest, known, Enclosures(True, True)))
