"""Runs the command line with `python -m marbleworks`."""

import sys

from marbleworks import router_command


def main() -> None:
    """Runs a router if the arguments are those of a usual start, and the command line otherwise."""
    files = router_command.parse_arguments(sys.argv[1:])
    if files is not None:
        sys.exit(router_command.main(files))
    from marbleworks.cli import app

    app()


if __name__ == "__main__":
    main()
