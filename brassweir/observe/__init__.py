"""Structured logs and metrics for operators."""
