"""Tests of the package fair_queue."""
