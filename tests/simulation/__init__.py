"""Tests of the package `simulation`."""
