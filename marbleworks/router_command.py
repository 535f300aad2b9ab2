"""Runs one router, as the command `serve` does, without loading the command line.

The command line's library takes a fifth of the least memory that a router may have, so `__main__` comes here
directly if the arguments are those of a usual start.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from marbleworks.settings import SettingsError
from marbleworks.startup_signals import StartupSignals

if TYPE_CHECKING:
    from marbleworks.net.protocol import RouterConfig
    from marbleworks.subsystems.wiring import Subsystems

COMMAND = "serve"
CONFIG_VARIABLE = "RELAY_CONFIG"
OPERATOR_VARIABLE = "MARBLEWORKS_OPERATOR"
CONFIG_OPTION = "--config"
OPERATOR_OPTION = "--operator"
EXIT_FAILED = 1


@dataclass(frozen=True, slots=True)
class RouterFiles:
    """Paths of a router's files.

    Attributes:
        config: The configuration.
        operator: The operator's file; empty for none.
    """

    config: str
    operator: str

    @classmethod
    def from_environment(cls) -> RouterFiles:
        """Returns the paths that the environment names."""
        return cls(os.environ.get(CONFIG_VARIABLE, ""), os.environ.get(OPERATOR_VARIABLE, ""))


def parse_arguments(arguments: Sequence[str]) -> RouterFiles | None:
    """Returns the files that a usual start names; None if the command line has to interpret the arguments.

    Args:
        arguments: The program's arguments.
    """
    if not arguments or arguments[0] != COMMAND:
        return None
    files = RouterFiles.from_environment()
    values = iter(arguments[1:])
    for argument in values:
        option, has_value, value = argument.partition("=")
        path = value if has_value else next(values, "-")
        if path.startswith("-"):
            return None
        if option == CONFIG_OPTION:
            files = replace(files, config=path)
        elif option == OPERATOR_OPTION:
            files = replace(files, operator=path)
        else:
            return None
    return files


def run_router(files: RouterFiles) -> None:
    """Runs a router until SIGTERM.

    Raises:
        SettingsError: The configuration or the operator's file is missing or invalid.
        OSError: An address is in use.
    """
    signals = StartupSignals()
    from marbleworks.net.server import serve

    config = read_config(files.config)
    serve(config, files.config, read_subsystems(files.operator), signals)


def main(files: RouterFiles) -> int:
    """Runs a router and returns the exit code; prints the reason of a failure in one line."""
    try:
        run_router(files)
    except (SettingsError, OSError) as error:
        print(f"marbleworks: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def read_config(path: str) -> RouterConfig:
    """Reads a router's configuration.

    Raises:
        SettingsError: It is missing or invalid.
    """
    from marbleworks.net.protocol import RouterConfig

    if not path:
        raise SettingsError(f"no configuration: set {CONFIG_OPTION} or {CONFIG_VARIABLE}")
    return RouterConfig.read(path)


def read_subsystems(path: str) -> Subsystems | None:
    """Returns the subsystems of the operator's file; without a file returns None and imports none of them.

    Raises:
        SettingsError: The file is invalid.
    """
    if not path:
        return None
    from marbleworks.operator_config.document import OperatorConfigError
    from marbleworks.subsystems.registry import read_operator_config
    from marbleworks.subsystems.wiring import Subsystems

    try:
        return Subsystems(read_operator_config(path))
    except OperatorConfigError as error:
        raise SettingsError(str(error)) from None
