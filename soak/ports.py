"""Ports for processes that are started again on the same port."""
import random
import socket

FIRST = 10000
RANGE = "/proc/sys/net/ipv4/ip_local_port_range"


def free_port():
    """Returns a port that no outgoing connection gets while its owner is down.

    It differs from run to run, so that soaks may run beside each other.
    """
    with open(RANGE, encoding="ascii") as file:
        end = int(file.read().split()[0])
    while True:
        port = random.SystemRandom().randrange(FIRST, end)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
