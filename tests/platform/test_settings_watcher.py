"""Tests a changed settings file: bounds apply, invalid files are rejected, addresses stay."""

from pathlib import Path

import msgspec
import pytest
from node_world import configuration, route, world
from platform_standins import StandinWorker

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import (
    NodeLimitSettings,
    NodeSettings,
    load_node_settings,
    parse_node_settings,
)
from corkcrank.links.decision_log import BoundedOutput, DecisionLog
from corkcrank.node.process.settings_watcher import SettingsWatcher
from corkcrank.scheduling.fleet_retry_budget import SAFETY_FACTOR

TEXT = """
[process]
name = "n"
zone = "z"
ip = "127.0.0.1"
caller_address = "127.0.0.1:1"
readiness_address = "127.0.0.1:2"
peer_ports = [3, 4]
[store]
address = "127.0.0.1:5"
[bounds]
retry_allowance = 50.0
"""


class WatchedFile:
    def __init__(self, path: Path) -> None:
        path.write_text(TEXT)
        self.settings: list[NodeSettings] = []
        first = load_node_settings(path).ok
        log = DecisionLog(None, "n")
        self.watcher = SettingsWatcher(path, first, log, self.settings.append)


def test_a_change_is_applied_once(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    watched = WatchedFile(path)
    watched.watcher.reload_if_changed()
    assert watched.settings == []
    path.write_text(TEXT.replace("50.0", "70.0"))
    watched.watcher.reload_if_changed()
    watched.watcher.reload_if_changed()
    assert [item.bounds.retry_allowance for item in watched.settings] == [70.0]


@pytest.mark.parametrize("text", ["[process", "[process]", TEXT.replace("50.0", '"many"')])
def test_an_invalid_file_changes_nothing(tmp_path: Path, text: str) -> None:
    path = tmp_path / "node.toml"
    watched = WatchedFile(path)
    path.write_text(text)
    watched.watcher.reload_if_changed()
    path.unlink()
    watched.watcher.reload_if_changed()
    assert watched.settings == []


def test_the_log_names_the_sections_that_apply_at_the_next_start(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.toml"
    watched = WatchedFile(path)
    log = DecisionLog(BoundedOutput(), "n")
    watcher = SettingsWatcher(path, load_node_settings(path).ok, log, watched.settings.append)
    path.write_text(TEXT.replace("127.0.0.1:5", "127.0.0.1:6"))
    watcher.reload_if_changed()
    assert '"waits_for_next_start": ["store"]' in capfd.readouterr().out


async def test_bounds_of_a_running_gateway_change_and_spent_repeats_stay_spent() -> None:
    served = {"one": (StandinWorker(), "plain")}
    routes = [route("safe", "safe", "plain")]
    async with world(configuration(1, routes), served, retry_allowance=40.0) as running:
        node = running.nodes[0]
        assert node.services.budget("plain").try_spend(clock.now(), node.fleet.share_member_count())
        left = node.services.budget("plain").remaining(clock.now(), 1)
        bounds = msgspec.structs.replace(node._settings.bounds, retry_allowance=50.0)
        node.apply_settings(msgspec.structs.replace(node._settings, bounds=bounds))
        more = node.services.budget("plain").remaining(clock.now(), 1)
        assert more == pytest.approx(left + SAFETY_FACTOR * 10.0)
        assert (await running.call("/safe/x", method="GET")).status == 200


async def test_limits_of_a_running_gateway_change() -> None:
    served = {"one": (StandinWorker(), "plain")}
    async with world(configuration(1, [route("safe", "safe", "plain")]), served) as running:
        node = running.nodes[0]
        limits = NodeLimitSettings(file_descriptors=600, memory_mb=300)
        node.apply_settings(msgspec.structs.replace(node._settings, limits=limits))
        assert node.listener_state.connection_limit == 200


@pytest.mark.parametrize("line", ["file_descriptors = -1", "memory_mb = -0.5", "cores = 2"])
def test_invalid_limits_are_rejected(line: str) -> None:
    assert parse_node_settings(f"{TEXT}[limits]\n{line}\n", "f").is_error()
