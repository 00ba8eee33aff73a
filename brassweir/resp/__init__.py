"""The platform's client protocol: RESP2 commands in, one answer each."""
