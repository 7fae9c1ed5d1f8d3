"""Recovery after a restart: replicated intents, startup progress, measured service level.

Loaded only if the configuration has a [recovery] table.

- `messages`: datagrams between a worker and its witness replicas.
- `quorum`: sizes of write and read quorums.
- `intent_log`: intents of other workers, kept by this worker as a witness replica.
- `pending_intents`: intents of this worker that await their write quorum.
- `witness_quorum`: the read quorum that a restarted worker queries.
- `startup_progress`: the stages of one start.
- `service_level`: outcomes of requests as seen by callers, in windows of a second.
"""
