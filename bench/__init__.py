"""Benchmarks, run as ``python -m bench.NAME``."""
