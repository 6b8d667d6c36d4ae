"""A loopback address for each process that runs cases."""
import os


def run_address():
    """An address that no other process of this machine uses. Servers that listen there get no request of another run
    that still knows their port from a server of its own, which ended and left the port free."""
    process = os.getpid()
    return f"127.{64 + (process >> 16) % 64}.{(process >> 8) % 256}.{process % 256}"
