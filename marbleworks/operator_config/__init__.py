"""The operator's file: its grammar, the types of its values, and the changes that a reload applies."""
