"""Background tasks: work that no request waits for, within a share of the core and a rate of bytes."""
