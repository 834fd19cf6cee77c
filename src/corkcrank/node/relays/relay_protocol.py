"""Messages between a gateway that cannot reach a worker and a member that relays its requests.

The head of a request is MessagePack, preceded by its length; the body follows unchanged. The
response is the worker's, with one header added. A failure has that header and no response of the
worker.
"""

from enum import StrEnum

import msgspec

RELAY_PATH = "/peer/relay"
WORKER_PROBE_PATH = "/peer/worker-probe"

RELAY_HEADER = "Corkcrank-Relay"
"""Response header with the outcome of a relayed request, a :class:`RelayOutcome`."""

RELAY_RETRY_HEADER = "Corkcrank-Relay-Retry"
"""Response header with the seconds of the worker's backoff for the relaying gateway."""

HEAD_LENGTH_BYTES = 4

MAX_HEAD_BYTES = 1 << 20
"""Maximum length of the head of a relayed request."""


class RelayOutcome(StrEnum):
    """The outcome of a relayed request."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    """The worker could not be reached."""
    REFUSED = "refused"
    """The worker's machine refused the connection."""
    WITHDRAWN = "withdrawn"
    """The worker is in backoff for the relaying gateway."""
    DECLINED = "declined"
    """The gateway does not relay this request now; another one may."""
    UNKNOWN = "unknown"
    """The worker may have received the request, but sent no readable response."""


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to a worker. Header fields and target are bytes, as the caller sent them.

    ``seconds`` limits the whole exchange. ``new_work`` is false for messages about earlier work,
    which leaving workers also get. ``call_id`` is empty if the request belongs to no call.
    """

    sender: str
    worker_id: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    seconds: float
    fresh: bool
    new_work: bool = True
    call_id: str = ""


class WorkerProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a member opens a connection to a worker."""

    worker_id: str


class WorkerProbeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Whether the member could open a connection to the worker.

    ``late`` is set if the member's event loop delayed the attempt, which is then inconclusive.
    """

    reached: bool
    late: bool = False


def encode_relayed_head(head: RelayedRequest) -> bytes:
    """Encode the head of a relayed request; the body follows it.

    >>> head = RelayedRequest("n", "w", "GET", b"/", (), 1.0, False)
    >>> decode_relayed_request(encode_relayed_head(head) + b"body") == (head, b"body")
    True
    """
    encoded = msgspec.msgpack.encode(head)
    return len(encoded).to_bytes(HEAD_LENGTH_BYTES, "big") + encoded


def decode_relayed_request(message: bytes) -> tuple[RelayedRequest, bytes]:
    """Return head and body of a message; raise :class:`msgspec.DecodeError` if it is invalid."""
    length = int.from_bytes(message[:HEAD_LENGTH_BYTES], "big")
    end = HEAD_LENGTH_BYTES + length
    if length > MAX_HEAD_BYTES or end > len(message):
        raise msgspec.DecodeError(f"head of {length} bytes in a message of {len(message)}")
    head = msgspec.msgpack.decode(message[HEAD_LENGTH_BYTES:end], type=RelayedRequest)
    return head, message[end:]
