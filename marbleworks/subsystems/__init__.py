"""The subsystems that the operator's file enables: the file's sections and their wiring to a router."""
