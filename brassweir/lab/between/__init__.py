"""Processes with faults between them: sites of senders, a relay that all their talk passes, and judges."""
