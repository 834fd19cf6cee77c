"""Functions that all daemon programs share: settings, served addresses, signals and shutdown."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from aiohttp import web

from corkcrank.contracts.result_codes import Failure
from corkcrank.contracts.settings import Settings, load_settings
from corkcrank.links.bounded_server import BoundedAppRunner

EXIT_SETTINGS = 3
"""Exit status of a daemon whose settings are invalid."""


class WorkerDump(msgspec.Struct, frozen=True):
    """One back end in a state dump."""

    worker: str
    service: str
    leaving: bool
    load: float
    own_in_flight: int
    models: tuple[str, ...]


class MemberDump(msgspec.Struct, frozen=True):
    """The part of a state dump that every daemon has."""

    name: str
    role: str
    zone: str
    state: str
    configuration_version: int
    may_admit: bool
    digest_age_seconds: float | None
    gateways: int
    members: tuple[str, ...]


def read_settings_or_exit(program: str, *, needs_caller_address: bool) -> Settings:
    """Return the settings named on the command line, or print why they are invalid and exit.

    Uses the standard library's parser: the operators' one would add its own size to every
    daemon.
    """
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("settings_file", type=Path, help="TOML settings of this process")
    path = parser.parse_args().settings_file
    result = load_settings(path, needs_caller_address=needs_caller_address)
    if result.is_error():
        print(format_failure(result.error), file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS)
    return result.ok


def format_failure(failure: Failure) -> str:
    """Return one line for an operator's terminal."""
    return f"error {failure.code.number} {failure.code.name}: {failure.detail}"


def stop_on_signals() -> asyncio.Event:
    """Return an event that is set by SIGTERM or SIGINT; repeated signals have no effect."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def cancel_all(tasks: Sequence[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until all have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def serve_application(
    application: web.Application,
    address: str,
    max_connections: int,
    *,
    handler_cancellation: bool = False,
) -> BoundedAppRunner:
    """Serve an application on ``ip:port`` until the runner is cleaned up."""
    runner = BoundedAppRunner(
        application,
        max_connections=max_connections,
        access_log=None,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=1.0,
    )
    await runner.setup()
    runner.listen(address)
    return runner
