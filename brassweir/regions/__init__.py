"""Which region may attempt an unsafe or keyed message now: ownership by epochs and leases, without
communication between regions."""
