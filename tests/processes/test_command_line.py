"""Runs the operators' command line against a deployment, and checks settings files."""

import asyncio
import subprocess
import sys
from pathlib import Path

from corkcrank.cli.exit_codes import ExitCode
from corkcrank.load.local_cluster import LocalCluster
from small import small_deployment

RUN = [sys.executable, "-c", "from corkcrank.cli.operator import main; main()"]


async def run(*arguments: str) -> tuple[int, str]:
    def call() -> subprocess.CompletedProcess[str]:
        return subprocess.run([*RUN, *arguments], capture_output=True, text=True, timeout=30)

    done = await asyncio.to_thread(call)
    return done.returncode, done.stdout + done.stderr


async def test_plan_confirm_status_and_dump(tmp_path: Path) -> None:
    async with LocalCluster(small_deployment()) as cluster:
        controller = ("-c", cluster.controllers()[0].peer_address)
        code, text = await run("plan", "tier", "neihu-tax", "filing", *controller)
        assert code == ExitCode.OK
        assert "change tenants/neihu-tax" in text
        plan = text.split()[1].rstrip(",")

        code, text = await run("plan", "drain", "tax-llm-0", *controller)
        stale = text.split()[1].rstrip(",")
        code, text = await run("confirm", plan, *controller)
        assert (code, text.strip()) == (ExitCode.OK, "version 2 is committed")
        code, text = await run("confirm", stale, *controller)
        assert code == ExitCode.STALE
        assert "5001 PLAN_STALE" in text
        assert "drain tax-llm-0: no new work" in text

        code, text = await run("confirm", "nonesuch", *controller)
        assert code == ExitCode.NOT_FOUND
        code, text = await run("plan", "tier", "neihu-tax", "nonesuch", *controller)
        assert code == ExitCode.INVALID
        assert "unknown tier 'nonesuch'" in text

        await wait_for_status(*controller)
        code, text = await run("dump", cluster.gateways()[0].peer_address)
        assert code == ExitCode.OK
        assert '"configuration_version": 2' in text
    code, text = await run("status", *controller)
    assert code == ExitCode.UNAVAILABLE


async def wait_for_status(*controller: str) -> None:
    for _ in range(20):
        code, text = await run("status", *controller)
        if code == ExitCode.OK and text.count("version 2") == 5:
            return
    raise AssertionError(f"status {code}: {text}")


async def test_check_reports_the_invalid_key_and_the_expected_value(tmp_path: Path) -> None:
    good = tmp_path / "good.toml"
    good.write_text(
        '[process]\nname = "g"\nzone = "z"\npeer_address = "127.0.0.1:1"\n'
        '[platform]\ntable = "127.0.0.1:2"\nmachine_list = "127.0.0.1:3"\n'
    )
    wrong = tmp_path / "wrong.toml"
    wrong.write_text(good.read_text() + "[limits]\ndrain_linger_seconds = 'soon'\n")
    host = tmp_path / "host.toml"
    host.write_text(good.read_text().replace("127.0.0.1:2", "table.local:2"))
    assert (await run("check", str(good)))[0] == ExitCode.OK
    code, text = await run("check", str(wrong))
    assert code == ExitCode.INVALID
    assert "6002 SETTINGS_INVALID" in text
    assert "$.limits.drain_linger_seconds" in text
    code, text = await run("check", str(host))
    assert "expected an address like 10.0.0.1:8080, got 'table.local:2'" in text
    code, text = await run("check", "--gateway", str(good))
    assert "$.process.caller_address" in text
    code, text = await run("check", str(tmp_path / "none.toml"))
    assert "6001 SETTINGS_UNREADABLE" in text
