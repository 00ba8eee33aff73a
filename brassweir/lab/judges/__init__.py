"""Checks recorded traffic against the rules of delivery, independently of the code under test."""
