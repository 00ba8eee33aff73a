"""The platform's HTTP side: calls to endpoints, notices of ends, the endpoint list, the configuration."""
