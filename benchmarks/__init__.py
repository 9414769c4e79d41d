"""Benchmarks of mustardquay, run with `make bench`."""
