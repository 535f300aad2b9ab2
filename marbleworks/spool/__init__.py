"""Stored query results: an engine is free as soon as its result is stored, and clients read pages later."""
