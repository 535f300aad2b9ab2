"""The subsystems that the operator's file turns on: its sections, and how they are wired to a router."""
