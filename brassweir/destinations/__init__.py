"""Updates of the endpoint list, and the sharing of connections among many destinations.

Pure: sockets and files are handled elsewhere. Nothing here decides on sending.
"""
