"""The commands `serve`, `check`, `settings` and `version`."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import typer

from marbleworks import VERSION
from marbleworks.cli.errors import failure
from marbleworks.settings import SettingsError
from marbleworks.startup_signals import StartupSignals

if TYPE_CHECKING:
    from marbleworks.net.protocol import RouterConfig
    from marbleworks.subsystems.wiring import Subsystems

CONFIG = typer.Option(
    os.environ.get("RELAY_CONFIG", ""), "--config", help="File of the router's configuration (RELAY_CONFIG)."
)
OPERATOR = typer.Option(
    os.environ.get("MARBLEWORKS_OPERATOR", ""),
    "--operator",
    help="The operator's file (MARBLEWORKS_OPERATOR).",
)


def add_commands(app: typer.Typer) -> None:
    """Adds this module's commands at the top level of the program."""
    for command in (serve, check, settings, version):
        app.command()(command)


def serve(config: str = CONFIG, operator: str = OPERATOR) -> None:
    """Run one router until SIGTERM."""
    signals = StartupSignals()
    from marbleworks.net.server import serve as run

    router_config = _read_config(config)
    try:
        run(router_config, config, _read_subsystems(operator), signals)
    except (SettingsError, OSError) as error:
        raise failure(error) from None


def check(config: str = CONFIG, operator: str = OPERATOR) -> None:
    """Check a configuration and the operator's file, and print the first error in one line."""
    router_config = _read_config(config)
    subsystems = _read_subsystems(operator)
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


def _read_config(path: str) -> RouterConfig:
    from marbleworks.net.protocol import RouterConfig

    try:
        if not path:
            raise SettingsError("no configuration: set --config or RELAY_CONFIG")
        return RouterConfig.read(path)
    except SettingsError as error:
        raise failure(error) from None


def _read_subsystems(path: str) -> Subsystems | None:
    """Returns the subsystems of the operator's file; without a file returns None and imports none of them."""
    if not path:
        return None
    from marbleworks.operator_config.document import OperatorConfigError
    from marbleworks.subsystems.registry import read_operator_config
    from marbleworks.subsystems.wiring import Subsystems

    try:
        return Subsystems(read_operator_config(path))
    except OperatorConfigError as error:
        raise failure(error) from None
