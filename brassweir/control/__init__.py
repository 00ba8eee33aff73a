"""All decisions of a sender: clock, settings, seed and events in, actions out; no I/O, no global state.

Times are milliseconds. docs/design.md tells which part follows the paper and where, and why, it departs.
"""

from brassweir.control.sender import Sender

__all__ = ["Sender"]
