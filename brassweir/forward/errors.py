"""The only error that decoding a peer's bytes raises."""


class ForwardError(ValueError):
    """What a peer sent violates the protocol or exceeds a limit."""
