"""AS2 (RFC 4130): codec without I/O (mime, cms, message, mdn), front for clients, carrier to partners."""
