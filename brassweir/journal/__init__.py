"""The write-ahead log of a sender: every accepted message gets exactly one final answer, even after a crash.

records, frame, state, recover, compact, durability, sizes and table do no I/O. The others write and read
through the Storage interface of storage.py, which also holds its implementation on a directory.
"""
