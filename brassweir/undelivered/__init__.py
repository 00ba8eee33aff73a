"""Messages that were given up on while their client has no word for it: kept on disk for the operator."""
