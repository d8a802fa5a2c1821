"""Compares policies on a model of a whole deployment.

Usage: ``python -m bench.experiment SETTINGS``; docs/experiments.md begins
with an example.
"""
