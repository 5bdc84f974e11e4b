"""Format of an agent's record of flows in the store.

A line of JSON names the target; 16 bytes for each flow follow.
"""

import json
import struct

from godwitturn.core.transparent import flow_record

_SEPARATOR = b"\n"
# Client address and port, route address and port, acknowledged number.
_ROW = struct.Struct("!IHIHI")


def encode(record: flow_record.FlowRecord) -> bytes:
    """Returns a record as the store keeps it."""
    head = json.dumps([record.service, record.target_id, record.born])
    rows = [
        _ROW.pack(*flow_id, acknowledged)
        for flow_id, acknowledged in record.acknowledged_by_id.items()
    ]
    return head.encode() + _SEPARATOR + b"".join(rows)


def decode(data: bytes) -> flow_record.FlowRecord | None:
    """Returns the record in a value of the store, None if it is malformed."""
    head, _, rows = data.partition(_SEPARATOR)
    try:
        service, target_id, born = json.loads(head)
        return flow_record.FlowRecord(
            str(service),
            str(target_id),
            int(born),
            {
                (client, client_port, address, port): acknowledged
                for client, client_port, address, port, acknowledged in (
                    _ROW.iter_unpack(rows)
                )
            },
        )
    except (ValueError, TypeError, struct.error):
        return None
