"""A small program in place of a copy: listens, says every 50 ms in its folder that it lives, with its clock."""

import os
import socket
import sys
import time

from brassweir.lab.between.launch import CLOCK, FULL, HOOKS, die_with_parent

die_with_parent()
for name in (CLOCK, FULL):
    HOOKS[name](os.environ[name])
port, folder = int(sys.argv[1]), sys.argv[2]
os.makedirs(folder, exist_ok=True)
server = socket.create_server(("127.0.0.1", port), backlog=100)
beats = os.open(os.path.join(folder, "beats"), os.O_WRONLY | os.O_CREAT | os.O_APPEND)
while True:
    try:
        os.write(beats, b"%d %.3f\n" % (os.getpid(), time.time()))
    except OSError as error:
        sys.exit(f"disk: {error.strerror}")
    time.sleep(0.05)
