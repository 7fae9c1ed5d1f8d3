"""Codec of an AJP server's response for the handover between processes and for the store."""

from typing import Any

from ochrehoist.net.ajp import Reply


class ReplyCodec:
    """The DetailCodec of AJP responses: converts their status and headers to and from JSON."""

    def to_json(self, detail: object) -> dict[str, Any] | None:
        """Returns the detail in JSON, or None if another executor produced it."""
        if not isinstance(detail, Reply):
            return None
        return {"status": detail.status, "headers": detail.headers.hex()}

    def from_json(self, data: Any) -> Reply | None:
        """Returns the detail without its body; raises KeyError, TypeError or ValueError for invalid data."""
        return None if data is None else Reply(int(data["status"]), bytes.fromhex(data["headers"]))
