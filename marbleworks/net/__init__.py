"""The router's network I/O: reports events to the scheduler and carries out its decisions."""
