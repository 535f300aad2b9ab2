"""Test doubles shared by several test packages."""
