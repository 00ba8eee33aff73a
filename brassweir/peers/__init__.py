"""What copies of the program know of each other: who there is, sealed messages, and who is alive."""
