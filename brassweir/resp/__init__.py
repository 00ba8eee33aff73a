"""The server side of the platform's client protocol, which is based on RESP2."""
