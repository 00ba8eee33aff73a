"""Trials: many days to answer one question, in pairs, by search or on both stages; and pages that tell it."""
