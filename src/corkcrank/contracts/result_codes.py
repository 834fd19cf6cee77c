"""Numbered result codes shared by every program.

``docs/RESULT-CODES.md`` lists the same table; a test checks that the two are equal.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum


class Ran(StrEnum):
    """Whether a request ran, as far as the gateway knows."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclass(frozen=True, slots=True)
class CodeEntry:
    """One row of the result code table."""

    number: int
    http_status: int
    ran: Ran
    summary: str


class ResultCode(Enum):
    """Every result code, with its number, HTTP status, run state and summary."""

    OK = CodeEntry(1000, 200, Ran.YES, "Answered whole.")

    MALFORMED_REQUEST = CodeEntry(2001, 400, Ran.NO, "The body or a header cannot be read.")
    BODY_TOO_LARGE = CodeEntry(2002, 413, Ran.NO, "The body exceeds the size limit.")
    UNKNOWN_API_KEY = CodeEntry(2003, 401, Ran.NO, "The API key belongs to no tenant.")
    UNKNOWN_PIPELINE = CodeEntry(2004, 404, Ran.NO, "No pipeline has this name.")
    UNKNOWN_SERVICE = CodeEntry(2005, 404, Ran.NO, "No plain service has this name.")
    IDEMPOTENCY_KEY_REQUIRED = CodeEntry(
        2006, 400, Ran.NO, "An unrepeatable operation needs an Idempotency-Key."
    )
    IDEMPOTENCY_KEY_REUSED = CodeEntry(
        2007, 422, Ran.NO, "The key was used before with another body."
    )
    DEADLINE_ALREADY_PAST = CodeEntry(2008, 400, Ran.NO, "The deadline is not in the future.")
    UNKNOWN_PATH = CodeEntry(2009, 404, Ran.NO, "No such path or method.")

    UNKNOWN_ROUTE = CodeEntry(2010, 404, Ran.NO, "No route has this host and path.")
    HEADERS_TOO_LARGE = CodeEntry(2011, 431, Ran.NO, "The header exceeds the size limit.")
    REQUEST_TOO_SLOW = CodeEntry(2012, 408, Ran.NO, "The request did not arrive in time.")

    DEADLINE_UNREACHABLE = CodeEntry(
        3001, 503, Ran.NO, "The remaining stages cannot finish before the deadline."
    )
    TENANT_QUOTA_EXCEEDED = CodeEntry(3002, 429, Ran.NO, "The tenant's quota is used up.")
    NO_BACKEND = CodeEntry(3003, 503, Ran.NO, "No live back end serves the stage.")
    CLAIM_STORE_UNAVAILABLE = CodeEntry(
        3004,
        503,
        Ran.UNKNOWN,
        "The claim could not be read; nothing was sent now, but an earlier call may have run.",
    )
    CONFIGURATION_NOT_CONFIRMED = CodeEntry(
        3005, 503, Ran.NO, "This gateway cannot confirm that its configuration is in force."
    )
    DRAINING = CodeEntry(3006, 503, Ran.NO, "This gateway is stopping.")
    CLAIM_ABANDONED = CodeEntry(
        3007, 503, Ran.NO, "The key was claimed but the call was never sent."
    )

    CONFIGURATION_UNKNOWN = CodeEntry(3008, 503, Ran.NO, "This gateway has no configuration yet.")
    CAPACITY_SHORT = CodeEntry(
        3009, 503, Ran.NO, "The stages cannot finish in time now; nothing was begun."
    )
    WORKERS_FULL = CodeEntry(3010, 503, Ran.NO, "Every worker tried said that it is full.")
    STAGE_NOT_MADE = CodeEntry(
        3011, 503, Ran.NO, "An input could not be made in time; no worker had the call itself."
    )

    REQUEST_QUARANTINED = CodeEntry(
        3012,
        503,
        Ran.NO,
        "Workers crashed under this request or a part of its prompt; it is not sent for a while.",
    )

    WORKERS_LIMITED = CodeEntry(
        3013, 503, Ran.NO, "Every worker has been given as many calls as it says that it takes."
    )

    WORKERS_BACKING_OFF = CodeEntry(
        3014, 503, Ran.NO, "Every worker asked this gateway to send nothing for a while."
    )

    WORKERS_UNREACHABLE = CodeEntry(
        3015, 503, Ran.NO, "Neither this gateway nor any other one reaches a worker."
    )

    STREAM_ORIGIN_UNKNOWN = CodeEntry(
        3016, 503, Ran.NO, "No gateway knows which software version began the stream."
    )

    STREAM_VERSION_UNAVAILABLE = CodeEntry(
        3017, 503, Ran.NO, "No worker of the software version that began the stream is available."
    )

    MEMORY_SHORT = CodeEntry(
        3018, 503, Ran.NO, "This gateway has no memory for another large body now."
    )

    OUTCOME_UNKNOWN = CodeEntry(
        4001, 504, Ran.UNKNOWN, "The call was sent and its outcome is not known."
    )
    DEADLINE_EXCEEDED = CodeEntry(
        4002, 504, Ran.UNKNOWN, "The deadline passed after work had started."
    )
    STAGE_FAILED = CodeEntry(4003, 502, Ran.UNKNOWN, "A stage failed after work had started.")
    STREAM_INTERRUPTED = CodeEntry(
        4004, 502, Ran.UNKNOWN, "The stream could not be completed before the deadline."
    )
    CLAIM_IN_PROGRESS = CodeEntry(
        4005, 409, Ran.UNKNOWN, "Another call with this key has no recorded outcome yet."
    )
    INTERNAL_ERROR = CodeEntry(
        4006, 500, Ran.UNKNOWN, "A fault in the gateway; its log names the request."
    )

    WORKER_LOST = CodeEntry(4007, 502, Ran.UNKNOWN, "The worker's answer was lost or is not whole.")

    PLAN_STALE = CodeEntry(5001, 409, Ran.NO, "The plan was drawn from an older version.")
    PLAN_UNKNOWN = CodeEntry(5002, 404, Ran.NO, "No plan has this id.")
    INTENT_INVALID = CodeEntry(5003, 422, Ran.NO, "The intent does not give a valid configuration.")
    TABLE_UNAVAILABLE = CodeEntry(5004, 503, Ran.NO, "The table did not answer; nothing changed.")
    CONFIRM_UNKNOWN = CodeEntry(
        5005, 504, Ran.UNKNOWN, "The table's answer to the confirm was lost and not settled."
    )

    SETTINGS_UNREADABLE = CodeEntry(6001, 500, Ran.NO, "The settings file cannot be read.")
    SETTINGS_INVALID = CodeEntry(6002, 500, Ran.NO, "The settings file has a wrong value.")

    WORKER_ENTRY_UNREADABLE = CodeEntry(
        7001, 500, Ran.NO, "A row of the list of workers names no worker that can be used."
    )
    WORKER_REPORT_UNREADABLE = CodeEntry(7002, 500, Ran.NO, "A worker's report cannot be read.")
    MEMBER_ROW_UNREADABLE = CodeEntry(
        7003, 500, Ran.NO, "A row of the list of gateways holds no address."
    )

    @property
    def number(self) -> int:
        """Return the stable number of the code."""
        return self.value.number

    @property
    def ran(self) -> Ran:
        """Return whether a request with this result ran, as far as the gateway knows."""
        return self.value.ran

    @property
    def http_status(self) -> int:
        """Return the HTTP status sent with the code."""
        return self.value.http_status

    @property
    def is_refusal(self) -> bool:
        """Return whether the same request may succeed later.

        >>> ResultCode.NO_BACKEND.is_refusal, ResultCode.UNKNOWN_API_KEY.is_refusal
        (True, False)
        """
        return self.number // 1000 in (3, 4)


@dataclass(frozen=True, slots=True)
class Failure:
    """A typed error: a result code, a short detail and the delay before a retry.

    ``retry_after`` is in seconds; ``None`` means that a retry does not help.
    """

    code: ResultCode
    detail: str = ""
    retry_after: float | None = None
