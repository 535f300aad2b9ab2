"""The layers of docs/architecture.md: no module imports from a layer above it."""

from importlinter.cli import EXIT_STATUS_SUCCESS, lint_imports


def test_no_import_violates_the_layers() -> None:
    assert lint_imports(no_cache=True, is_debug_mode=False) == EXIT_STATUS_SUCCESS
