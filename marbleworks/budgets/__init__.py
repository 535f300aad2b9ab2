"""Budgets of the whole fleet: each router's part of them, by what it needs, and never more than the whole."""
