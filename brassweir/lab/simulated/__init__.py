"""The simulated stage: real engines and journals on one clock, with disks that fail and senders that die."""
