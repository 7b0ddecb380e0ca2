"""Ports for processes that are started again on the same port."""
import random
import socket

FIRST = 10000
RANGE = "/proc/sys/net/ipv4/ip_local_port_range"
# Ports that this process has given out; their owners may not listen yet.
given = set()


def free_port():
    """Returns a port that no outgoing connection gets while its owner is down.

    No port is returned twice. It differs from run to run, so that soaks may
    run beside each other.
    """
    with open(RANGE, encoding="ascii") as file:
        end = int(file.read().split()[0])
    while True:
        port = random.SystemRandom().randrange(FIRST, end)
        if port in given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        given.add(port)
        return port
