"""Budgets of the whole fleet, divided among routers by demand."""
