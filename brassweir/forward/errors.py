"""The one error that reading a peer's bytes can raise."""


class ForwardError(ValueError):
    """What a peer sent does not follow the protocol, or goes beyond a limit."""
