"""The drill: plays the decisions against a simulated deployment, over standard input and output."""
