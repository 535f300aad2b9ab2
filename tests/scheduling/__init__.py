"""Tests of the package scheduling."""
