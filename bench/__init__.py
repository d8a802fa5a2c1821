"""Package of benchmarks."""
