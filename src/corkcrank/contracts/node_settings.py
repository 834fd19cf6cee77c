"""Settings of a gateway that serves opaque calls, read from TOML and checked.

Times are in seconds. ``corkcrank check`` reads them the same way.
"""

import tomllib
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.contracts.settings import is_address


class NodeProcessSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who and where the process is; addresses are ``ip:port``.

    ``peer_ports`` are free for what gateways say to each other; the first is used, for
    calls and datagrams. Metrics and the state dump are served there too, and on
    ``metrics_port`` if that is not 0.
    """

    name: str
    zone: str
    ip: str
    caller_address: str
    readiness_address: str
    peer_ports: tuple[int, int]
    metrics_port: int = 0

    @property
    def peer_address(self) -> str:
        """Return where peers reach this process."""
        return f"{self.ip}:{self.peer_ports[0]}"

    @property
    def peer_addresses(self) -> list[str]:
        """Return every address that peers, metrics and the dump are served on."""
        addresses = [self.peer_address]
        if self.metrics_port:
            addresses.append(f"{self.ip}:{self.metrics_port}")
        return addresses


class NodeStoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store."""

    address: str
    timeout: float = 1.0


class NodePeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Machines to begin with; their ports are not used, since ports are alike."""

    seeds: tuple[str, ...] = ()


class NodeBoundSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operator promises and asks: stop, retries, how soon news is acted upon.

    ``leaving`` is the time within which a leaving worker gets no more work,
    ``configuration`` the time within which an accepted configuration is in force, and
    ``evacuation`` the time within which workers of an evacuated zone get nothing more.
    """

    grace: float = 8.0
    leaving: float = 2.0
    configuration: float = 2.0
    evacuation: float = 5.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_allowance: float = 50.0

    @property
    def shortest(self) -> float:
        """Return the time within which any news of the store must be acted upon."""
        return min(self.leaving, self.configuration, self.evacuation)


class NodeLimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operating system allows the process; 0 where it is not told.

    ``file_descriptors`` are those of all files and sockets, ``memory_mb`` is in MiB.
    ``cpu_share`` is the part of one processor that the process may use, ``cpu_speed`` how many
    times as fast that processor is as the platform's usual one.
    """

    file_descriptors: int = 0
    memory_mb: float = 0.0
    cpu_share: float = 0.0
    cpu_speed: float = 1.0

    @property
    def strength(self) -> float:
        """Return the processor time that the process may use, in usual processors; 0 unknown.

        >>> NodeLimitSettings(cpu_share=0.5, cpu_speed=3.0).strength, NodeLimitSettings().strength
        (1.5, 0.0)
        """
        return self.cpu_share * self.cpu_speed


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole settings file of a gateway for opaque calls."""

    process: NodeProcessSettings
    store: NodeStoreSettings
    peers: NodePeerSettings = NodePeerSettings()
    bounds: NodeBoundSettings = NodeBoundSettings()
    limits: NodeLimitSettings = NodeLimitSettings()


def load_node_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read and check a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(Failure(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"))
    return parse_node_settings(text, str(path))


def parse_node_settings(text: str, source: str) -> Result[NodeSettings, Failure]:
    """Check settings given as TOML text.

    >>> parse_node_settings("[process]", "f").error.code.name
    'SETTINGS_INVALID'
    """
    try:
        settings = msgspec.convert(tomllib.loads(text), NodeSettings)
    except tomllib.TOMLDecodeError as error:
        return Error(Failure(ResultCode.SETTINGS_UNREADABLE, f"{source}: {error}"))
    except msgspec.ValidationError as error:
        return Error(Failure(ResultCode.SETTINGS_INVALID, f"{source}: {error}"))
    problem = _first_problem(settings)
    if problem:
        return Error(Failure(ResultCode.SETTINGS_INVALID, f"{source}: {problem}"))
    return Ok(settings)


def _first_problem(settings: NodeSettings) -> str:
    process = settings.process
    addresses = {
        "process.caller_address": process.caller_address,
        "process.readiness_address": process.readiness_address,
        "process.peer_ports": process.peer_address,
        "store.address": settings.store.address,
    }
    for position, seed in enumerate(settings.peers.seeds):
        addresses[f"peers.seeds[{position}]"] = seed
    for key, address in addresses.items():
        if not is_address(address):
            return f"expected an address like 10.0.0.1:8080, got {address!r} - at `$.{key}`"
    if process.peer_ports[0] >= process.peer_ports[1]:
        return "expected two or more ports - at `$.process.peer_ports`"
    positive = {
        "store.timeout": settings.store.timeout,
        "bounds.grace": settings.bounds.grace,
        "bounds.retry_window": settings.bounds.retry_window,
        "bounds.leaving": settings.bounds.leaving,
        "bounds.configuration": settings.bounds.configuration,
        "bounds.evacuation": settings.bounds.evacuation,
    }
    for key, value in positive.items():
        if value <= 0:
            return f"expected a positive number - at `$.{key}`"
    limits = settings.limits
    numbers = (limits.file_descriptors, limits.memory_mb, limits.cpu_share, limits.cpu_speed)
    if any(number < 0 for number in numbers):
        return "expected no negative number - at `$.limits`"
    return ""
