"""Messages between a gateway that cannot reach a worker and one that sends its requests there.

The head of a request is MessagePack, preceded by its length; the body follows byte for byte. The
response is the worker's, with one header added; a failure has that header and no worker's response.
"""

from enum import StrEnum

import msgspec

RELAY_PATH = "/peer/relay"
WORKER_PROBE_PATH = "/peer/worker-probe"

RELAY_HEADER = "Corkcrank-Relay"
"""Response header that states the outcome of a relayed request, a :class:`RelayOutcome`."""

RELAY_RETRY_HEADER = "Corkcrank-Relay-Retry"
"""Seconds for which the worker wants no requests of the gateway that was to send this one."""

HEAD_LENGTH_BYTES = 4

MAX_HEAD_BYTES = 1 << 20
"""Maximum length of the head of a relayed request."""


class RelayOutcome(StrEnum):
    """What became of a relayed request."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    """The worker could not be reached."""
    REFUSED = "refused"
    """The worker's machine refused the connection."""
    WITHDRAWN = "withdrawn"
    """The worker wants no requests of the relaying gateway for a while."""
    DECLINED = "declined"
    """The gateway relays nothing to this worker, or nothing now; another one may."""
    UNKNOWN = "unknown"
    """The worker may have received the request; it sent no readable response."""


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to a worker. Header fields and target are bytes, as the caller sent them.

    ``seconds`` limits the whole exchange. ``new_work`` is false for messages about earlier work,
    which leaving workers get as well. ``call_id`` is empty if the request belongs to no call.
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
    """Asks a member to open a connection to a worker."""

    worker_id: str


class WorkerProbeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Whether the member could open a connection to the worker."""

    reached: bool


def encode_relayed_request(head: RelayedRequest, body: bytes) -> bytes:
    """Return the message of a relayed request.

    >>> head = RelayedRequest("n", "w", "GET", b"/", (), 1.0, False)
    >>> decode_relayed_request(encode_relayed_request(head, b"body")) == (head, b"body")
    True
    """
    encoded = msgspec.msgpack.encode(head)
    return len(encoded).to_bytes(HEAD_LENGTH_BYTES, "big") + encoded + body


def decode_relayed_request(message: bytes) -> tuple[RelayedRequest, bytes]:
    """Return head and body of a message; raises :class:`msgspec.DecodeError`."""
    length = int.from_bytes(message[:HEAD_LENGTH_BYTES], "big")
    end = HEAD_LENGTH_BYTES + length
    if length > MAX_HEAD_BYTES or end > len(message):
        raise msgspec.DecodeError(f"head of {length} bytes in a message of {len(message)}")
    head = msgspec.msgpack.decode(message[HEAD_LENGTH_BYTES:end], type=RelayedRequest)
    return head, message[end:]
