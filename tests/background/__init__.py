"""Tests of the package `background`."""
