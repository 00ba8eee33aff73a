"""Measurements that are run by hand; the figures that are kept stand in docs/measurements.md and docs/CAPACITY.md."""
