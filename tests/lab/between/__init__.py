"""The rig of processes with faults between them, and its judges."""
