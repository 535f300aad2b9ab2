"""Tests of the package budgets."""
