"""Membership among the copies of the program: who is listed, authenticated messages, and who is alive."""
