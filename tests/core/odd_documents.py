"""Documents of another writer that nest deeply, or hold numbers and texts that nothing can use."""

import msgspec

DEPTH = 100_000

ODD_VALUES = [
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"0" + b"}" * DEPTH,
    b"[" * DEPTH,
    str(10**23).encode(),
    str(-(10**23)).encode(),
    b"9" * 5_000,
    str((1 << 64) - 1).encode(),
    str(1 << 64).encode(),
    b"-1",
    b"1.5",
    b"1e400",
    b"NaN",
    b"null",
    b"true",
    b'""',
    b'"\\ud800"',
    b'"\\x41"',
    b'"\xff\xfe"',
    b'"a\\u0000b"',
    b"[]",
    b"{}",
    b"[{}]",
    b"[null]",
]


def odd_documents(*sound: msgspec.Struct) -> list[bytes]:
    """Return odd documents: values alone, and in place of each field of sound ones."""
    documents = [b"", b"\xff", b"{", *ODD_VALUES]
    for struct in sound:
        fields = msgspec.json.decode(msgspec.json.encode(struct), type=dict[str, msgspec.Raw])
        for name in [*fields, "another"]:
            for value in ODD_VALUES:
                changed = fields | {name: msgspec.Raw(value)}
                texts = (b'"%s":%s' % (key.encode(), bytes(raw)) for key, raw in changed.items())
                documents.append(b"{" + b",".join(texts) + b"}")
    return documents
