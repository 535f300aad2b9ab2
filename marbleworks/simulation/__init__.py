"""The simulation: the scheduler behind the simulator's wire, over standard input and output."""
