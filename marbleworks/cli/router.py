"""The commands `serve`, `check`, `settings` and `version`."""

from __future__ import annotations

import typer

from marbleworks import VERSION, router_command
from marbleworks.cli.errors import failure
from marbleworks.router_command import RouterFiles
from marbleworks.settings import SettingsError

_FILES = RouterFiles.from_environment()
CONFIG = typer.Option(
    _FILES.config, router_command.CONFIG_OPTION, help="File of the router's configuration (RELAY_CONFIG)."
)
OPERATOR = typer.Option(
    _FILES.operator, router_command.OPERATOR_OPTION, help="The operator's file (MARBLEWORKS_OPERATOR)."
)


def add_commands(app: typer.Typer) -> None:
    """Adds this module's commands at the top level of the program."""
    for command in (serve, check, settings, version):
        app.command()(command)


def serve(config: str = CONFIG, operator: str = OPERATOR) -> None:
    """Run one router until SIGTERM."""
    try:
        router_command.run_router(RouterFiles(config, operator))
    except (SettingsError, OSError) as error:
        raise failure(error) from None


def check(config: str = CONFIG, operator: str = OPERATOR) -> None:
    """Check a configuration and the operator's file, and print the first error in one line."""
    try:
        router_config = router_command.read_config(config)
        subsystems = router_command.read_subsystems(operator)
    except SettingsError as error:
        raise failure(error) from None
    if subsystems is not None:
        sections = ", ".join(subsystems.config.sections) or "no section"
        typer.echo(f"{operator}: {sections}: fit to serve")
    classes = len(router_config.settings.class_index)
    typer.echo(f"{router_config.name}: {classes} profiles, {config}: fit to serve")


def settings() -> None:
    """Print every setting of the operator's file: type, bounds, default, meaning."""
    from marbleworks.subsystems.registry import describe_settings

    for line in describe_settings():
        typer.echo(line)


def version() -> None:
    """Print the version."""
    typer.echo(VERSION)
