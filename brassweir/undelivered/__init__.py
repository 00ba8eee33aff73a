"""Messages that ended without delivery, for protocols without an answer for that: stored for the operator."""
