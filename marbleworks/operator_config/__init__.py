"""The operator's file: its grammar, the types of its values, and what a reload of it changes."""
