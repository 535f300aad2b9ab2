"""Background tasks: work that no request waits for, limited to a share of the core and an I/O rate."""
