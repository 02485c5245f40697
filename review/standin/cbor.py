"""A small CBOR codec for maps keyed by text, lists, text, numbers, booleans and null."""
import struct


def _head(major, number, out):
    if number < 24:
        out.append((major << 5) | number)
    elif number < 0x100:
        out.append((major << 5) | 24)
        out.append(number)
    elif number < 0x10000:
        out.append((major << 5) | 25)
        out += struct.pack(">H", number)
    elif number < 0x100000000:
        out.append((major << 5) | 26)
        out += struct.pack(">I", number)
    else:
        out.append((major << 5) | 27)
        out += struct.pack(">Q", number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        if value >= 0:
            _head(0, value, out)
        else:
            _head(1, -1 - value, out)
    elif isinstance(value, float):
        out.append(0xFB)
        out += struct.pack(">d", value)
    elif isinstance(value, str):
        raw = value.encode()
        _head(3, len(raw), out)
        out += raw
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


def dumps(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _decode(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info == 20:
            return False, at
        if info == 21:
            return True, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack_from(">e", data, at)[0], at + 2
        if info == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        raise ValueError("simple value")
    if info < 24:
        number = info
    elif info == 24:
        number, at = data[at], at + 1
    elif info == 25:
        number, at = struct.unpack_from(">H", data, at)[0], at + 2
    elif info == 26:
        number, at = struct.unpack_from(">I", data, at)[0], at + 4
    elif info == 27:
        number, at = struct.unpack_from(">Q", data, at)[0], at + 8
    elif info == 31 and major in (3, 4, 5):
        number = None
    else:
        raise ValueError("length")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 3:
        if number is None:
            parts = []
            while data[at] != 0xFF:
                part, at = _decode(data, at)
                parts.append(part)
            return "".join(parts), at + 1
        return bytes(data[at:at + number]).decode(), at + number
    if major == 4:
        items = []
        while (len(items) < number) if number is not None else data[at] != 0xFF:
            item, at = _decode(data, at)
            items.append(item)
        return items, at + (1 if number is None else 0)
    if major == 5:
        result, count = {}, 0
        while (count < number) if number is not None else data[at] != 0xFF:
            key, at = _decode(data, at)
            result[key], at = _decode(data, at)
            count += 1
        return result, at + (1 if number is None else 0)
    raise ValueError("major type")


def loads(data):
    value, at = _decode(data, 0)
    if at != len(data):
        raise ValueError("trailing bytes")
    return value
