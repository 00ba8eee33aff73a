"""The Fluent forward protocol (specification v1) before and behind the same core as others."""
