"""Who may attempt an unsafe or keyed message, here, now: ownership by epochs, without a link between
regions."""
