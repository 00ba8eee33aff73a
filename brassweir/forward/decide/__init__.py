"""What the forward front decides: who reads next, whose a chunk is, and what its source is told. Pure."""
