"""Package of the demo."""
