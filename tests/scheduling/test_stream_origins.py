"""The table of stream origins: an origin never changes, expires, and the table is bounded."""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.links.datagrams import MAX_DATAGRAM_BYTES
from corkcrank.machines.heartbeat_codec import decode_heartbeat
from corkcrank.machines.origin_reports import (
    OriginReport,
    decode_origin_reports,
    encode_origin_reports,
)
from corkcrank.scheduling import stream_origins
from corkcrank.scheduling.stream_origins import MAX_RETENTION_SECONDS, StreamOrigins

KEYS = st.sampled_from([b"k1", b"k2", b"k3"])
VERSIONS = st.sampled_from(["v1", "v2"])
REPORTS = st.lists(st.tuples(KEYS, VERSIONS, st.floats(0.1, 20.0), st.floats(0.0, 5.0)))


@given(REPORTS)
def test_an_origin_is_the_reported_one_or_unknown(
    reports: list[tuple[bytes, str, float, float]],
) -> None:
    origins, now = StreamOrigins(), 0.0
    told: dict[bytes, list[tuple[str, float]]] = {}
    for key, version, seconds, pause in reports:
        now += pause
        origins.record(key, StreamOrigin("s", version), seconds, now)
        told.setdefault(key, []).append((version, now + seconds))
        found = origins.find(key, now)
        valid = {item for item, until in told[key] if until > now}
        assert found is not None
        assert found.version in ("", version)
        if len(valid) > 1:
            assert not found.version


def test_origins_are_kept_in_any_order_of_reports() -> None:
    for order in (("v1", "v1", "v2"), ("v2", "v1", "v1"), ("v1", "v2", "v1")):
        origins = StreamOrigins()
        for version in order:
            origins.record(b"k", StreamOrigin("s", version), 9.0, 0.0)
        assert origins.find(b"k", 1.0) == StreamOrigin("s", "")


def test_the_table_is_bounded(monkeypatch: object) -> None:
    origins = StreamOrigins()
    for number in range(stream_origins.MAX_ORIGINS + 10):
        origins.record(number.to_bytes(8), StreamOrigin("s", "v1"), 1e9, 0.0)
    assert len(origins) == stream_origins.MAX_ORIGINS
    assert origins.find((0).to_bytes(8), 0.0) is None
    assert origins.find((15).to_bytes(8), MAX_RETENTION_SECONDS + 1.0) is None


@given(st.integers(0, 300))
def test_datagrams_of_origins_fit_and_are_no_heartbeats(count: int) -> None:
    reports = tuple(
        OriginReport(number.to_bytes(8), StreamOrigin("a-service" * 4, "v1.2.3-rc1"), 12.5)
        for number in range(count)
    )
    datagrams = list(encode_origin_reports(reports))
    assert all(len(data) <= MAX_DATAGRAM_BYTES for data in datagrams)
    assert all(decode_heartbeat(data) is None for data in datagrams)
    assert tuple(item for data in datagrams for item in decode_origin_reports(data)) == reports


@given(st.binary(max_size=200))
def test_other_datagrams_name_no_origin(data: bytes) -> None:
    for item in decode_origin_reports(data) + decode_origin_reports(b"O1" + data):
        assert len(item.key) == 8
