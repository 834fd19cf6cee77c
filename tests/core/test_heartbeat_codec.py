"""Heartbeats always fit a datagram, and nothing else is taken for one."""

import zlib
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.datagrams import MAXIMUM_DATAGRAM_BYTES
from corkcrank.machines.heartbeat import CallLoad, Heartbeat, Phase, SentPrefix, StageLoad
from corkcrank.machines.heartbeat_codec import (
    MAXIMUM_HEARTBEAT_BYTES,
    decode_heartbeat,
    encode_heartbeat,
)
from corkcrank.machines.worker_changes import MOST_TOLD, WorkerChange, WorkerChangeBatch
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtCrash, Trial, TrialReport
from corkcrank.scheduling.stated_limits import MAX_REPORTED_LIMITS, ReportedLimit


def identity(number: int) -> str:
    """Return an id that does not compress, of the length that ids have."""
    return f"i-{number * 0x9E3779B97F4A7C15 % (1 << 64):016x}"


def heartbeat(queues: int, calls: int, prefixes: int, changes: int) -> Heartbeat:
    starts = tuple(((tenant, route), 1.234) for tenant in range(3) for route in range(5))
    records = [
        WorkerRecord(identity(n), "service-name", f"10.0.{n}.1:1", "a-zone") for n in range(changes)
    ]
    return Heartbeat(
        "edge-hall-petrol-11",
        2**31,
        "hall-petrol",
        "10.1.0.41:7740",
        Phase.SERVING,
        0.7,
        worker_changes=WorkerChangeBatch(
            1, 2, tuple(WorkerChange(item.worker_id, 2, item) for item in records)
        ),
        stage_loads=tuple(StageLoad(identity(n), 0.3, starts, n, 1e6 + n) for n in range(queues)),
        call_loads=tuple(CallLoad(identity(n), n % 7 + 1, 900 + n) for n in range(calls)),
        prefixes=tuple(
            SentPrefix(identity(n), ((identity(n + 500), 2_500), (identity(n + 900), 3_800)))
            for n in range(prefixes)
        ),
    )


@given(
    queues=st.integers(0, 120),
    calls=st.integers(0, 600),
    prefixes=st.integers(0, 60),
    changes=st.integers(0, MOST_TOLD),
)
def test_a_heartbeat_fits_whatever_it_has_to_tell(
    queues: int, calls: int, prefixes: int, changes: int
) -> None:
    beat = heartbeat(queues, calls, prefixes, changes)
    data = encode_heartbeat(beat)
    assert len(data) <= MAXIMUM_DATAGRAM_BYTES
    told = decode_heartbeat(data)
    assert told is not None
    assert (told.name, told.phase, told.interval) == (beat.name, beat.phase, beat.interval)


def test_calls_are_left_out_before_what_owners_tell() -> None:
    told = decode_heartbeat(encode_heartbeat(heartbeat(20, 900, 24, MOST_TOLD)))
    assert told is not None
    assert len(told.stage_loads) == 20
    assert told.worker_changes is not None
    assert len(told.worker_changes.changes) == MOST_TOLD
    assert 0 < len(told.call_loads) < 900
    assert min(load.in_flight for load in told.call_loads) > 1


@given(st.binary(max_size=300))
def test_anything_else_is_no_heartbeat(data: bytes) -> None:
    assert decode_heartbeat(data) is None
    assert decode_heartbeat(zlib.compress(data)) is None


def test_a_datagram_that_unpacks_to_much_is_no_heartbeat() -> None:
    padded = msgspec.msgpack.encode(heartbeat(0, 0, 0, 0)) + bytes(50 * MAXIMUM_HEARTBEAT_BYTES)
    assert decode_heartbeat(zlib.compress(padded)) is None


def test_limits_of_workers_are_told_also_where_nothing_else_that_is_rare_is() -> None:
    """Fields that tell nothing are left out from the end; what stands behind them is kept."""
    limits = tuple(ReportedLimit(identity(n), 1.5, 0.25) for n in range(MAX_REPORTED_LIMITS))
    beat = msgspec.structs.replace(heartbeat(2, 2, 2, 0), limits=limits)
    told = decode_heartbeat(encode_heartbeat(beat))
    assert told is not None
    assert told.limits == limits


def test_a_heartbeat_without_limits_has_no_byte_for_them() -> None:
    beat = heartbeat(2, 2, 2, 0)
    fields = msgspec.msgpack.decode(zlib.decompress(encode_heartbeat(beat)))
    assert len(fields) == Heartbeat.__struct_fields__.index("trials")


class OlderReport(msgspec.Struct, frozen=True, array_like=True):
    """What an older build tells of a request: its ends stand in the place that is reserved now."""

    request: str
    ends: tuple[tuple[str, float, bool, bool], ...] = ()
    trial: tuple[int, float] | None = None


OlderHeartbeat = msgspec.defstruct(
    "OlderHeartbeat",
    [
        (name, tuple[OlderReport, ...] if name == "trials" else Any, msgspec.UNSET)
        for name in Heartbeat.__struct_fields__[:-1]
    ],
    array_like=True,
    frozen=True,
)


def test_builds_that_tell_ends_by_request_and_by_worker_hear_each_other() -> None:
    """A member whose heartbeats cannot be read is taken for dead in a rolling restart."""
    ends = (("w 1", 0.5, False, True),)
    older = [
        (OlderReport("c" * 16, ends, (2, 0.25)),) if name == "trials" else value
        for name, value in zip(
            Heartbeat.__struct_fields__[:-1],
            msgspec.structs.astuple(heartbeat(2, 2, 2, 0)),
            strict=False,
        )
    ]
    heard = decode_heartbeat(zlib.compress(msgspec.msgpack.encode(older)))
    assert heard is not None
    assert heard.trials[0].trial == Trial(2, 0.25)
    report = CrashReport.from_requests("w 1", 0.5, [RequestAtCrash("c" * 16)], incomplete=False)
    trial = TrialReport("c" * 16, trial=Trial(2, 0.25))
    told = msgspec.structs.replace(heartbeat(2, 2, 2, 0), trials=(trial,), crashes=(report,))
    data = zlib.decompress(encode_heartbeat(told))
    read = msgspec.msgpack.decode(data, type=OlderHeartbeat)
    assert read.trials == (OlderReport("c" * 16, (), (2, 0.25)),)
