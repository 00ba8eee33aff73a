"""The platform's side of a sender: calls to endpoints, notices, the endpoint list and the configuration."""
