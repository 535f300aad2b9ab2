"""The simulation: the scheduler behind the simulator's line protocol, on standard input and output."""
