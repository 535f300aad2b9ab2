"""Experiments on loopback: stand-in processes, load generators and reports. The router never imports it."""
