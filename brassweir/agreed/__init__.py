"""What copies agree on: a replicated log with a pure core, its durable state, and the member that runs it."""
