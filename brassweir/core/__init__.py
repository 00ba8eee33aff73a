"""The engine that executes the decision module's actions, its ledger of messages, and its interfaces."""
