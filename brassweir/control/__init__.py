"""The decision module of a sender: settings, seed and events in, actions out; no I/O and no global state.

Times are milliseconds. docs/design.md says where it follows the paper, and where and why it departs from it.
"""

from brassweir.control.sender import Sender

__all__ = ["Sender"]
