"""Routers that know each other: who is there, which part of the group one is in, what that part may do."""
