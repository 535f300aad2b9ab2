"""Tests of the package lab."""
