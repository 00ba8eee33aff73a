"""Rigs: senders, stand-ins and a script set up together on loopback, played, and reported."""
