"""Tests of the package cells."""
