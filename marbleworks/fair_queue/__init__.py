"""The door: fair queues between the fronts and the desk, and times to come back that are kept."""
