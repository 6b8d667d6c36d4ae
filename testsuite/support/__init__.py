"""Support code of the test suite: processes, ports, HTTP calls and waiting."""
