"""What copies agree on: a replicated log with a pure core, its durable state, the member that runs it."""
