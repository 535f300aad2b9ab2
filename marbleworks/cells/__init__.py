"""Cells: small groups of routers and engines, by a numbered plan. Only with the operator's file."""
