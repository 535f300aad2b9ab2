"""Tests of the package net."""
