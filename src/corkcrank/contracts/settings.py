"""Local settings of a daemon, read from a TOML file and validated before it starts."""

import re
import tomllib
from enum import StrEnum
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from corkcrank.contracts.identifiers import Address, MemberId, ZoneName
from corkcrank.contracts.result_codes import Failure, ResultCode

DEFAULT_MAX_BODY_BYTES = 1 << 20
"""Default limit on the size of a caller's request body."""

_ADDRESS = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}):(\d{1,5})$")


class ProcessSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The name, zone and addresses (``ip:port``) of a process."""

    name: MemberId
    zone: ZoneName
    peer_address: Address
    caller_address: Address = Address("")


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services."""

    table: Address
    machine_list: Address


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Peers from which a configuration is fetched while the table is unreachable."""

    seeds: tuple[Address, ...] = ()


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits for requests and for a planned stop."""

    maximum_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    drain_linger_seconds: float = 2.0
    drain_limit_seconds: float = 60.0


class Routing(StrEnum):
    """Policies for choosing a back end."""

    PREFIX_AFFINITY = "prefix-affinity"
    TWO_CHOICES = "two-choices"
    LEAST_LOADED = "least-loaded"
    ROUND_ROBIN = "round-robin"


class PolicySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policies of a gateway.

    ``admission`` refuses or cancels requests that cannot complete before their deadline.
    ``retry_share`` is the number of retries that each first attempt adds to the budget.
    """

    routing: Routing = Routing.PREFIX_AFFINITY
    admission: bool = True
    retry_share: float = 0.1


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete settings of a gateway or a controller."""

    process: ProcessSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    policies: PolicySettings = PolicySettings()


def load_settings(path: Path, *, needs_caller_address: bool) -> Result[Settings, Failure]:
    """Read and validate a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(Failure(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"))
    return parse_settings(text, str(path), needs_caller_address=needs_caller_address)


def parse_settings(
    text: str, source: str, *, needs_caller_address: bool
) -> Result[Settings, Failure]:
    """Parse and validate settings given as TOML text; ``source`` names them in errors.

    >>> parse_settings("[process]", "f", needs_caller_address=False).error.code.name
    'SETTINGS_INVALID'
    """
    try:
        settings = msgspec.convert(tomllib.loads(text), Settings)
    except tomllib.TOMLDecodeError as error:
        return Error(Failure(ResultCode.SETTINGS_UNREADABLE, f"{source}: {error}"))
    except msgspec.ValidationError as error:
        return Error(Failure(ResultCode.SETTINGS_INVALID, f"{source}: {error}"))
    problem = _first_problem(settings, needs_caller_address)
    if problem:
        return Error(Failure(ResultCode.SETTINGS_INVALID, f"{source}: {problem}"))
    return Ok(settings)


def _first_problem(settings: Settings, needs_caller_address: bool) -> str:
    addresses = {
        "process.peer_address": settings.process.peer_address,
        "platform.table": settings.platform.table,
        "platform.machine_list": settings.platform.machine_list,
    }
    if needs_caller_address:
        addresses["process.caller_address"] = settings.process.caller_address
    for position, seed in enumerate(settings.peers.seeds):
        addresses[f"peers.seeds[{position}]"] = seed
    for key, address in addresses.items():
        if not is_address(address):
            return f"expected an address like 10.0.0.1:8080, got {address!r} - at `$.{key}`"
    if settings.limits.maximum_body_bytes < 1:
        return "expected a positive number - at `$.limits.maximum_body_bytes`"
    return ""


def is_address(text: str) -> bool:
    """Return whether ``text`` is an ``ip:port`` pair.

    >>> is_address("127.0.0.1:80"), is_address("localhost:80"), is_address("1.2.3.4:99999")
    (True, False, False)
    """
    match = _ADDRESS.match(text)
    return match is not None and 0 < int(match.group(3)) < 65_536
