"""Protocol messages as clients, caches and discovery services send them."""

# A discovery event that purges a group; the arguments of the format are the event index and the group.
GROUP_PURGE_LINE = b'{"index":%d,"evict":{"shard":%d,"unix_ms":1}}\n'


DEFAULT_OBJECT = 0x7F3A9C21E0B4D655
ENTITY_TAG = "4be0c1927d55a6f3"
REQUEST_ID = b"9b1f03aa5c7e2d41"
IDEMPOTENCY_KEY = "a31c3d6cffc90fc47fc97a47e35d8a29"


def resp_array(*parts: bytes) -> bytes:
    """A RESP array of bulk strings: a message of the client protocol, in either direction."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def with_entity_fields(response: bytes) -> bytes:
    """A cache's response to which the fields of a cached object are added."""
    return response.replace(b" HIT - ", b" HIT entity=%b,issued=5 " % ENTITY_TAG.encode())


def request_fields(request_id: str, timeout_ms: int, object_id: int, part: int = 0, group: int = 17) -> str:
    """The fields that each client request has."""
    return f"trace={request_id},patience={timeout_ms},entity={object_id:016x},block={part},family={group}"


def request_message(
    tag: int,
    request_id: str,
    object_id: int,
    timeout_ms: int,
    *,
    class_name: str = "page",
    part: int = 0,
    group: int = 17,
    more: str = "",
    body: bytes = b"",
) -> bytes:
    """The bytes of a client request; `more` is appended to its fields."""
    fields = request_fields(request_id, timeout_ms, object_id, part, group) + more
    return resp_array(b"ASK", b"%d" % tag, class_name.encode(), fields.encode(), body)


def numbered_id(number: int) -> str:
    """The request id for a number."""
    return f"{number:016x}"


def numbered_request(tag: int, number: int) -> bytes:
    """A request for the default object, with the request id for a number."""
    return request_message(tag, numbered_id(number), DEFAULT_OBJECT, 2000)
