"""Benchmarks: each module has a `run`; figures are ratios within one run."""
