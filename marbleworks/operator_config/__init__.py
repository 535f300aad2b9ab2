"""The operator's own file: what a subsystem may be told, how it is read, checked and changed while
running."""
