"""A laboratory on loopback: stand-ins, load, experiments. The router never imports it."""
