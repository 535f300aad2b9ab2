"""Cells: a fleet too large for one group, cut into groups that know each other, under one level or more."""
