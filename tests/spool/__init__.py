"""Tests of the package spool."""
