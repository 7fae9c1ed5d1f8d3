"""Recovery after a restart: replicated intents, startup progress, measured service level.

Loaded only where the configuration has a [recovery] table.

- `messages`: datagrams between a worker and its witness replicas.
- `quorum`: sizes of write and read quorums.
- `intent_log`: what this worker remembers as a witness replica of others.
- `pending_intents`: intents of this worker that wait for their write quorum.
- `witness_quorum`: the read quorum that a restarted worker asks.
- `startup_progress`: the stages of one start.
- `service_level`: what callers get, in windows of a second.
"""
