"""Cells: groups of routers and engines into which a fleet that is too large for one group is divided.

The routers of a cell know each other. One or more levels above the cells lease budgets and homes of table
groups to them.
"""
