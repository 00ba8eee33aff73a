"""HTTP/1.1 over asyncio protocol classes: a server, a client with keep-alive pools, and their limits."""
