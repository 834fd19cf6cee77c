"""``corkcrank``: the command line for operators.

Create a plan with ``plan``, check its changes, and apply it with ``confirm``.
"""

import tomllib
from pathlib import Path
from typing import NoReturn, TypeVar

import msgspec
import typer

from corkcrank.cli import log_commands
from corkcrank.cli.controller_client import ControllerClient
from corkcrank.cli.exit_codes import ExitCode, exit_code_for
from corkcrank.contracts.configuration import Configuration, Pipeline, validate_configuration
from corkcrank.contracts.identifiers import TenantName, WorkerId
from corkcrank.contracts.node_settings import load_node_settings
from corkcrank.contracts.plans import (
    DrainWorker,
    Intent,
    PlaceModels,
    PlanView,
    PutPipeline,
    ReplaceConfiguration,
    SetTenantQuota,
    SetTenantTier,
)
from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.contracts.settings import load_settings
from corkcrank.controller.routes import FailureView, StatusView

application = typer.Typer(no_args_is_help=True, help=__doc__, rich_markup_mode=None)
plan_application = typer.Typer(no_args_is_help=True, help="Create a plan from an intent.")
application.add_typer(plan_application, name="plan")
for command in (
    log_commands.explain,
    log_commands.losses,
    log_commands.stops,
    log_commands.resumptions,
):
    application.command()(command)

_KindT = TypeVar("_KindT")

CONTROLLER = typer.Option(
    ..., "--controller", "-c", envvar="CORKCRANK_CONTROLLER", help="Any controller, as ip:port."
)
AS_JSON = typer.Option(False, "--json", help="Print JSON for scripts.")


@plan_application.command("replace")
def plan_replace(file: Path, controller: str = CONTROLLER, as_json: bool = AS_JSON) -> None:
    """Replace the whole configuration by a TOML file.

    Example: corkcrank plan replace configuration.toml -c 10.0.0.1:9000
    """
    configuration = _read_toml(file, Configuration, version=0)
    _create_plan(ReplaceConfiguration(configuration), controller, as_json)


@plan_application.command("pipeline")
def plan_pipeline(file: Path, controller: str = CONTROLLER, as_json: bool = AS_JSON) -> None:
    """Add or change the pipeline in a TOML file.

    Example: corkcrank plan pipeline review.toml -c 10.0.0.1:9000
    """
    _create_plan(PutPipeline(_read_toml(file, Pipeline)), controller, as_json)


@plan_application.command("tier")
def plan_tier(
    tenant: str, tier: str, controller: str = CONTROLLER, as_json: bool = AS_JSON
) -> None:
    """Move a tenant to another tier.

    Example: corkcrank plan tier neihu-tax filing -c 10.0.0.1:9000
    """
    _create_plan(SetTenantTier(TenantName(tenant), tier), controller, as_json)


@plan_application.command("quota")
def plan_quota(
    tenant: str,
    requests_per_second: float,
    burst: float,
    controller: str = CONTROLLER,
    as_json: bool = AS_JSON,
) -> None:
    """Change a tenant's quota over all gateways.

    Example: corkcrank plan quota neihu-tax 80 100 -c 10.0.0.1:9000
    """
    intent = SetTenantQuota(TenantName(tenant), requests_per_second, burst)
    _create_plan(intent, controller, as_json)


@plan_application.command("drain")
def plan_drain(
    worker: str,
    undo: bool = typer.Option(False, "--undo", help="Give it work again."),
    controller: str = CONTROLLER,
    as_json: bool = AS_JSON,
) -> None:
    """Stop sending new work to a back end.

    Example: corkcrank plan drain tax-llm-3 -c 10.0.0.1:9000
    """
    _create_plan(DrainWorker(WorkerId(worker), drained=not undo), controller, as_json)


@plan_application.command("place")
def plan_place(
    worker: str,
    models: list[str],
    controller: str = CONTROLLER,
    as_json: bool = AS_JSON,
) -> None:
    """Set the models that an engine must hold.

    Example: corkcrank plan place tax-llm-3 tax-8b tax-70b -c 10.0.0.1:9000
    """
    _create_plan(PlaceModels(WorkerId(worker), tuple(models)), controller, as_json)


@application.command()
def confirm(plan_id: str, controller: str = CONTROLLER, as_json: bool = AS_JSON) -> None:
    """Apply a plan, if nothing has changed since it was created.

    Example: corkcrank confirm 3f2a9c01d4e5 -c 10.0.0.1:9000
    """
    result = ControllerClient(controller).confirm(plan_id)
    if result.is_error():
        _fail(result.error, as_json)
    answer = result.ok
    if as_json:
        _print_json(answer)
    elif answer.code == ResultCode.OK.number:
        print(f"version {answer.version} is committed")
    else:
        print(f"{answer.code} {answer.name}: version {answer.version} came first")
        if answer.fresh_plan is not None:
            _print_plan(answer.fresh_plan)
    raise typer.Exit(exit_code_for(answer.code))


@application.command()
def status(controller: str = CONTROLLER, as_json: bool = AS_JSON) -> None:
    """Show which version is in force on which process, zone by zone.

    Example: corkcrank status -c 10.0.0.1:9000
    """
    views = _all_statuses(controller, as_json)
    if as_json:
        print(msgspec.json.encode(views).decode())
    else:
        _print_statuses(views)
    committed = max(view.committed_version for view in views)
    behind = [m for view in views for m in view.members if m.version < committed]
    raise typer.Exit(ExitCode.VERSIONS_DIFFER if behind else ExitCode.OK)


@application.command()
def dump(address: str) -> None:
    """Print the state of any process, by its peer address.

    Example: corkcrank dump 10.0.0.1:9001
    """
    result = ControllerClient(address).dump()
    if result.is_error():
        _fail(result.error, as_json=False)
    print(msgspec.json.format(msgspec.json.encode(result.ok), indent=2).decode())


@application.command("release-request")
def release_request(address: str, request: str) -> None:
    """Release a quarantined request at every node, by its fingerprint and a node's peer address.

    Example: corkcrank release-request 10.0.0.1:7740 5f0c2d9e81a3b764
    """
    result = ControllerClient(address).release_request(request)
    if result.is_error():
        _fail(result.error, as_json=False)
    print(f"{request} is {result.ok.state}, as far as this node knows, and was {result.ok.before}")


@application.command()
def check(
    settings: list[Path],
    gateway: bool = typer.Option(False, "--gateway", help="The files are gateway settings."),
    node: bool = typer.Option(False, "--node", help="The files are node settings (opaque calls)."),
) -> None:
    """Check settings files without starting anything.

    Example: corkcrank check --gateway gateway.toml
    """
    wrong = False
    for path in settings:
        failure = _check_settings(path, gateway=gateway, node=node)
        if failure is not None:
            print(f"error {failure.code.number} {failure.code.name}: {failure.detail}")
            wrong = True
        else:
            print(f"{path}: ok")
    raise typer.Exit(ExitCode.INVALID if wrong else ExitCode.OK)


def _check_settings(path: Path, *, gateway: bool, node: bool) -> Failure | None:
    if node:
        result = load_node_settings(path)
        return result.error if result.is_error() else None
    checked = load_settings(path, needs_caller_address=gateway)
    return checked.error if checked.is_error() else None


@application.command()
def codes() -> None:
    """Print the table of result codes as Markdown."""
    print(format_codes())


def format_codes() -> str:
    """Return the result code table; ``docs/RESULT-CODES.md`` holds the same."""
    lines = ["| number | name | HTTP | ran | meaning |", "|---|---|---|---|---|"]
    lines += [
        f"| {code.number} | {code.name} | {code.http_status} | {code.ran} | {code.value.summary} |"
        for code in ResultCode
    ]
    return "\n".join(lines)


def _read_toml(path: Path, kind: type[_KindT], **defaults: object) -> _KindT:
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        read = msgspec.convert({**defaults, **values}, kind)
    except (OSError, ValueError) as error:
        _fail(_invalid(f"{path}: {error}"), as_json=False)
    if isinstance(read, Configuration):
        problems = validate_configuration(read)
        if problems:
            _fail(_invalid(f"{path}: {'; '.join(problems)}"), as_json=False)
    return read


def _invalid(detail: str) -> FailureView:
    code = ResultCode.INTENT_INVALID
    return FailureView(code.number, code.name, detail)


def _create_plan(intent: Intent, controller: str, as_json: bool) -> None:
    result = ControllerClient(controller).create_plan(intent)
    if result.is_error():
        _fail(result.error, as_json)
    if as_json:
        _print_json(result.ok)
    else:
        _print_plan(result.ok)


def _print_plan(plan: PlanView) -> None:
    print(f"plan {plan.plan_id}, drawn from version {plan.base_version}:")
    for change in plan.changes or ("nothing changes",):
        print(f"  {change}")
    print(f"confirm with: corkcrank confirm {plan.plan_id}")


def _all_statuses(controller: str, as_json: bool) -> list[StatusView]:
    pending = [controller]
    views: dict[str, StatusView] = {}
    while pending:
        address = pending.pop()
        result = ControllerClient(address).status()
        if result.is_ok():
            views[address] = result.ok
            pending += [item.address for item in result.ok.holders if item.address not in views]
        elif not views:
            _fail(result.error, as_json)
    return sorted(views.values(), key=lambda view: (view.zone, not view.publishes))


def _print_statuses(views: list[StatusView]) -> None:
    for view in views:
        if not view.publishes:
            continue
        print(f"zone {view.zone}: held by {view.controller} under fence {view.fence}, ", end="")
        print(f"committed version {view.committed_version}")
        for member in view.members:
            mark = "" if member.version == view.committed_version else "  behind"
            print(f"  {member.member:<20} version {member.version}{mark}")


def _print_json(body: msgspec.Struct) -> None:
    print(msgspec.json.encode(body).decode())


def _fail(failure: FailureView, as_json: bool) -> NoReturn:
    if as_json:
        _print_json(failure)
    else:
        typer.echo(f"error {failure.code} {failure.name}: {failure.detail}", err=True)
    raise typer.Exit(exit_code_for(failure.code))


def main() -> None:
    """Run the program."""
    application()
