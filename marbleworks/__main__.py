"""Runs the command line with `python -m marbleworks`."""

from marbleworks.cli import app

if __name__ == "__main__":
    app()
