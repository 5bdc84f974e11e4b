"""Format of an agent's flow record in the store.

A line of JSON with the service, the target's id, its start and the names of
data centres, then a row of 17 bytes for each flow.
"""

import json
import struct

from godwitturn.core.transparent import flow_record
from godwitturn.protocol import json_values

_SEPARATOR = b"\n"
# Client address and port, route address and port, acknowledged sequence
# number, index of the data centre in the list of names.
_ROW = struct.Struct("!IHIHIB")


def encode(record: flow_record.FlowRecord) -> bytes:
    """Returns a record in its stored form."""
    names = sorted({flow.data_centre for flow in record.flow_by_id.values()})
    header = [record.service, record.target_id, record.born, names]
    rows = [
        _ROW.pack(*flow_id, flow.acknowledged, names.index(flow.data_centre))
        for flow_id, flow in record.flow_by_id.items()
    ]
    return json.dumps(header).encode() + _SEPARATOR + b"".join(rows)


def decode(data: bytes) -> flow_record.FlowRecord | None:
    """Returns the record in a stored value, None if it is malformed."""
    header, _, rows = data.partition(_SEPARATOR)
    try:
        service, target_id, born, names = json_values.load(header)
        names = [json_values.text(name, "data centre") for name in names]
        return flow_record.FlowRecord(
            json_values.text(service, "service"),
            json_values.text(target_id, "id"),
            json_values.integer(born, "born"),
            {
                row[:4]: flow_record.RecordedFlow(row[4], names[row[5]])
                for row in _ROW.iter_unpack(rows)
            },
        )
    except (ValueError, TypeError, IndexError, struct.error):
        return None
