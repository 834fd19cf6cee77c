"""Reads and validates the TOML settings of a gateway that serves opaque calls.

Times are in seconds. ``corkcrank check`` uses the same functions.
"""

import tomllib
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.contracts.settings import is_address


class NodeProcessSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name, zone and addresses of the process; addresses are ``ip:port``.

    ``peer_ports`` is the range reserved for traffic between gateways. Only the first port is
    used, for HTTP calls and datagrams. Metrics and the state dump are served there too, and
    on ``metrics_port`` if that is not 0.
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
        """Return the address at which peers reach this process."""
        return f"{self.ip}:{self.peer_ports[0]}"

    @property
    def peer_addresses(self) -> list[str]:
        """Return every address that serves peer calls, metrics and the state dump."""
        addresses = [self.peer_address]
        if self.metrics_port:
            addresses.append(f"{self.ip}:{self.metrics_port}")
        return addresses


class NodeStoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the platform's store and the timeout of one call to it."""

    address: str
    timeout: float = 1.0


class NodePeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Initial peer addresses; their ports are ignored, as all gateways use the same ports."""

    seeds: tuple[str, ...] = ()


class NodeBoundSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits and retry limits that the operator sets.

    ``grace`` is the time between the stop signal and the end of the process. The next three
    are the times within which a change in the store takes effect: after ``leaving`` a leaving
    worker receives no more work, after ``configuration`` an accepted configuration is in
    force, and after ``evacuation`` workers of an evacuated zone receive nothing more.
    """

    grace: float = 8.0
    leaving: float = 2.0
    configuration: float = 2.0
    evacuation: float = 5.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_allowance: float = 50.0

    @property
    def min_reaction_seconds(self) -> float:
        """Return the shortest time within which a change in the store must take effect."""
        return min(self.leaving, self.configuration, self.evacuation)


class NodeLimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resource limits of the process; 0 where a limit is unknown.

    ``file_descriptors`` counts all files and sockets, ``memory_mb`` is in MiB. A worker's answer
    that exceeds ``max_answer_mb`` MiB is dropped, unless it is a stream. ``cpu_share``
    is the share of one processor that the process may use. ``cpu_speed`` is the speed of that
    processor relative to the platform's standard one.
    """

    file_descriptors: int = 0
    memory_mb: float = 0.0
    max_answer_mb: float = 64.0
    cpu_share: float = 0.0
    cpu_speed: float = 1.0

    @property
    def processor_capacity(self) -> float:
        """Return the processor capacity of the process, in standard processors; 0 if unknown.

        >>> (NodeLimitSettings(cpu_share=0.5, cpu_speed=3.0).processor_capacity,
        ...     NodeLimitSettings().processor_capacity)
        (1.5, 0.0)
        """
        return self.cpu_share * self.cpu_speed


class NodeSchedulingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Optional scheduling features.

    ``competing_callers`` queues prompts before engines by urgency, refuses calls that the queues
    could not serve in time, and keeps the order of the ranks at later stages. ``return_claims``
    lets refused callers go first if they return when they were told. ``platform_features`` lists
    what the platform reports of the deployment; a setting that is ``None`` follows it, and prompts
    are then also queued for services whose workers state their pace.
    """

    competing_callers: bool | None = None
    return_claims: bool = False
    platform_features: tuple[str, ...] = ()


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole settings file of a gateway for opaque calls."""

    process: NodeProcessSettings
    store: NodeStoreSettings
    peers: NodePeerSettings = NodePeerSettings()
    bounds: NodeBoundSettings = NodeBoundSettings()
    limits: NodeLimitSettings = NodeLimitSettings()
    scheduling: NodeSchedulingSettings = NodeSchedulingSettings()

    @property
    def seed_addresses(self) -> list[str]:
        """Return the addresses at which the seeds serve peers; all use the same port."""
        port = self.process.peer_address.rsplit(":", 1)[1]
        return [f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.peers.seeds]


def load_node_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read and validate a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(Failure(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"))
    return parse_node_settings(text, str(path))


def parse_node_settings(text: str, source: str) -> Result[NodeSettings, Failure]:
    """Parse and validate settings given as TOML text.

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
        return "expected a range of at least two ports - at `$.process.peer_ports`"
    positive = {
        "store.timeout": settings.store.timeout,
        "bounds.grace": settings.bounds.grace,
        "bounds.retry_window": settings.bounds.retry_window,
        "bounds.leaving": settings.bounds.leaving,
        "bounds.configuration": settings.bounds.configuration,
        "bounds.evacuation": settings.bounds.evacuation,
        "limits.max_answer_mb": settings.limits.max_answer_mb,
    }
    for key, value in positive.items():
        if value <= 0:
            return f"expected a positive number - at `$.{key}`"
    limits = settings.limits
    numbers = (limits.file_descriptors, limits.memory_mb, limits.cpu_share, limits.cpu_speed)
    if any(number < 0 for number in numbers):
        return "expected no negative numbers - at `$.limits`"
    return ""
