"""Names of the platform's headers, paths, tables, rows and worker states."""

ATTEMPT_ID = "X-Corkcrank-Attempt-Id"
DEADLINE_MS = "X-Corkcrank-Deadline-Ms"
PREFIX = "X-Corkcrank-Prefix-Hash"
MODEL = "X-Corkcrank-Model"
TOKEN_COUNT = "X-Corkcrank-Token-Count"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
SEAL = "X-Corkcrank-Server-Seal"
TENANT = "X-Corkcrank-Tenant"
EXPECT_INSTANCE = "X-Corkcrank-Expect-Instance"
SERVER_LOAD = "X-Corkcrank-Server-Load"
NOT_EXECUTED = "X-Corkcrank-Not-Executed"
INSTANCE_ID = "X-Corkcrank-Instance-Id"
SEGMENTS = "X-Corkcrank-Segments"
SEGMENT_KEY = "X-Corkcrank-Segment-Key"
INPUTS = "X-Corkcrank-Inputs"
CREDENTIAL = "X-Corkcrank-Credential"
SERVER_LIMIT = "Server-Limit"
PREFIXED_SERVER_LIMIT = "X-Corkcrank-Server-Limit"
SERVER_BRITTLE = "Server-Brittle"
PREFIXED_SERVER_BRITTLE = "X-Corkcrank-Server-Brittle"
SERVER_LEAVING = "Server-Leaving"
PREFIXED_SERVER_LEAVING = "X-Corkcrank-Server-Leaving"
RETRY_AFTER = "Retry-After"

# Request headers that pass a gateway's decisions to workers. This gateway sends none of them,
# EXPECT_VERSION included; they are listed so that callers' values are dropped.
# "Hold" in a header is a reservation, and "Kv-From" the source of a cache; the "Server-Seal" of
# SEAL above is a worker's signature.
EXPECT_VERSION = "X-Corkcrank-Expect-Version"
REQUEST_PRIORITY = "X-Corkcrank-Request-Priority"
RESERVATION = "X-Corkcrank-Hold"
CACHE_PIN_MS = "X-Corkcrank-Pin-Ms"
CACHE_BACKUP = "X-Corkcrank-Kv-Backup"
CACHE_SOURCE = "Kv-From"
CACHE_FETCH = "Kv-Fetch"

RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        INPUTS,
        REQUEST_PRIORITY,
        RESERVATION,
        CACHE_PIN_MS,
        CACHE_BACKUP,
        CACHE_SOURCE,
        CACHE_FETCH,
    )
)
"""Headers that only the gateway may set; values from callers are dropped."""

CONSUMED_HEADERS = frozenset(name.lower() for name in (CREDENTIAL, DEADLINE_MS, LAST_EVENT_ID))
"""Caller headers for the gateway itself: it sets them again or does not forward them."""

PROTECTED_HEADERS = frozenset(name.lower() for name in (ATTEMPT_ID, MODEL, TOKEN_COUNT, PREFIX))
"""Headers that describe the call; they are forwarded even if ``Connection`` lists them."""

READY_PATH = "/readyz"
STAGE_RUN_PATH = "/stage-run"
STAGE_FREE_PATH = "/stage-free"
REPORT_PATH = "/report"
ROWS_GET_PATH = "/rows-get"
ROWS_FEED_PATH = "/rows-feed"
ROWS_TX_PATH = "/rows-tx"

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
WORKER_TABLE = "servers"
MEMBER_TABLE = "members"
QUARANTINE_TABLE = "quarantine"
SOFTWARE_TABLE = "software"
ORIGIN_TABLE = "origins"
PART_SUCCESS_TABLE = "part-successes"

READY = "ready"
DRAINING = "draining"
