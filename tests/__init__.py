"""Tests of the project, by package."""
