"""Hollow workers: many in one process, each with a worker's core, admission controller, settings and peers.

They exchange real datagrams, and have no clients, servers or listeners. The process takes commands on its
standard input, one JSON object a line, and answers each by a line; see `protocol`.
"""
