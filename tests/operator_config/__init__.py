"""Tests of the package `operator_config`."""
