"""Records of streams, as the store keeps them."""

from __future__ import annotations


class RecordRows(dict):
    """Versions by the key of a stream; placeholders have an empty one."""

    def write(self, records, placeholders, removed):
        """Implements `stream_records.RecordTable.write`."""
        existing = set(placeholders) & self.keys()
        if existing:
            return existing
        self.update(records)
        self.update(dict.fromkeys(placeholders, ""))
        for key in removed:
            self.pop(key, None)
        return set()
