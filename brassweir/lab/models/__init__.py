"""Deployments, days drawn from them, and modelled partners: what the laboratory plays. No I/O."""
