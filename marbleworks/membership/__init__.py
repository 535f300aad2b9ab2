"""Group membership of routers: failure detection (SWIM), leader election by votes, division of the quota."""
