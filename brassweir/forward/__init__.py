"""The Fluent forward protocol (specification v1): a front for log shippers, and a carrier to destinations."""
