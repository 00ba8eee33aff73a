"""Webhooks over HTTP, signed as in Standard Webhooks."""
