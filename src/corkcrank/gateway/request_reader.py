"""Parses headers and bodies of callers' requests into typed values or failures."""

from aiohttp import web
from expression import Error, Ok, Result

from corkcrank.contracts.messages import PipelineRequest
from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.strict_json import decode_strictly

DEADLINE_HEADER = "Corkcrank-Deadline-Ms"
"""Header with the deadline in milliseconds after the request's arrival."""

KEY_HEADER = "Idempotency-Key"
"""Header with the key of an unrepeatable call, the same in every retry."""

MAX_KEY_LENGTH = 256
"""Maximum length of an idempotency key, in characters."""

MAX_DEADLINE_SECONDS = 600.0
"""Maximum accepted deadline."""

MAX_TOKENS = 4096
"""Maximum number of tokens in one request."""


def read_api_key(request: web.Request) -> str:
    """Return the bearer token, or an empty string."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" and _is_text(token) else ""


def read_deadline_seconds(request: web.Request, default: float) -> Result[float, Failure]:
    """Return the request's deadline in seconds after its arrival."""
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return Ok(default)
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        return Error(_malformed(f"{DEADLINE_HEADER} is not a number"))
    if not seconds <= MAX_DEADLINE_SECONDS:
        return Error(_malformed(f"{DEADLINE_HEADER} is above {MAX_DEADLINE_SECONDS:.0f} s"))
    if seconds <= 0:
        return Error(Failure(ResultCode.DEADLINE_ALREADY_PAST))
    return Ok(seconds)


def read_key(request: web.Request) -> Result[str, Failure]:
    """Return the idempotency key, or an empty string."""
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        return Error(_malformed(f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH}"))
    if not _is_text(key):
        return Error(_malformed(f"{KEY_HEADER} is not a text"))
    return Ok(key)


async def read_body(request: web.Request, limit: int) -> Result[bytes, Failure]:
    """Return the body if it is within ``limit`` bytes."""
    too_large = Failure(ResultCode.BODY_TOO_LARGE, f"the limit is {limit} bytes")
    if request.content_length is not None and request.content_length > limit:
        return Error(too_large)
    try:
        return Ok(await request.read())
    except web.HTTPRequestEntityTooLarge:
        return Error(too_large)


def read_pipeline_request(body: bytes) -> Result[PipelineRequest, Failure]:
    """Return the decoded body of a pipeline request."""
    decoded = decode_strictly(body, PipelineRequest)
    if isinstance(decoded, Unreadable):
        return Error(_malformed(decoded.reason))
    if decoded.max_tokens is not None and not 1 <= decoded.max_tokens <= MAX_TOKENS:
        return Error(_malformed(f"max_tokens must be from 1 to {MAX_TOKENS}"))
    return Ok(decoded)


def read_text(body: bytes) -> Result[str, Failure]:
    """Return the body of a plain call as text."""
    try:
        return Ok(body.decode())
    except UnicodeDecodeError as error:
        return Error(_malformed(str(error)))


def _is_text(header: str) -> bool:
    """Return whether the bytes of a header were a text: others are decoded to surrogates."""
    return not any("\ud800" <= character <= "\udfff" for character in header)


def _malformed(detail: str) -> Failure:
    return Failure(ResultCode.MALFORMED_REQUEST, detail)
