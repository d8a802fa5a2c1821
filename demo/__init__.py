"""Demo of a fleet of three nodes on one machine."""
