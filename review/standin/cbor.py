"""CBOR for the bodies of the protocol: maps with text keys, lists, text, numbers, booleans, null."""
import struct


def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for code, fmt, top in ((24, ">B", 1 << 8), (25, ">H", 1 << 16), (26, ">I", 1 << 32), (27, ">Q", 1 << 64)):
        if n < top:
            return bytes([major << 5 | code]) + struct.pack(fmt, n)
    raise ValueError("too large")


def dumps(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        raw = value.encode()
        return _head(3, len(raw)) + raw
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(dumps(v) for v in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(dumps(k) + dumps(v) for k, v in value.items())
    raise TypeError(type(value))


def loads(raw):
    value, at = _load(raw, 0)
    if at != len(raw):
        raise ValueError("trailing bytes")
    return value


def _load(raw, at):
    first = raw[at]
    at += 1
    major, info = first >> 5, first & 31
    if major == 7:
        if info == 20:
            return False, at
        if info == 21:
            return True, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack_from(">e", raw, at)[0], at + 2
        if info == 26:
            return struct.unpack_from(">f", raw, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", raw, at)[0], at + 8
        raise ValueError("simple value")
    if info < 24:
        n = info
    elif info <= 27:
        size = 1 << (info - 24)
        n = int.from_bytes(raw[at:at + size], "big")
        at += size
    elif info == 31 and major in (4, 5):
        n = None
    else:
        raise ValueError("length")
    if major == 0:
        return n, at
    if major == 1:
        return -1 - n, at
    if major in (2, 3):
        part = raw[at:at + n]
        if len(part) != n:
            raise ValueError("short")
        return (part.decode() if major == 3 else part), at + n
    if major == 4:
        out = []
        while n is None or len(out) < n:
            if n is None and raw[at] == 0xff:
                return out, at + 1
            value, at = _load(raw, at)
            out.append(value)
        return out, at
    if major == 5:
        out, count = {}, 0
        while n is None or count < n:
            if n is None and raw[at] == 0xff:
                return out, at + 1
            key, at = _load(raw, at)
            out[key], at = _load(raw, at)
            count += 1
        return out, at
    raise ValueError("tag")
