// Fields of Thrift structs in the compact protocol, for messages that fit one datagram.
#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace peridotgrade::compact_fields {

using Protocol = apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>;

inline void write(Protocol& out, std::int16_t id, std::int64_t value)
{
    out.writeFieldBegin("", apache::thrift::protocol::T_I64, id);
    out.writeI64(value);
}

inline void write(Protocol& out, std::int16_t id, double value)
{
    out.writeFieldBegin("", apache::thrift::protocol::T_DOUBLE, id);
    out.writeDouble(value);
}

inline void write(Protocol& out, std::int16_t id, const std::string& value)
{
    out.writeFieldBegin("", apache::thrift::protocol::T_STRING, id);
    out.writeString(value);
}

inline void write(Protocol& out, std::int16_t id, bool value)
{
    out.writeFieldBegin("", apache::thrift::protocol::T_BOOL, id);
    out.writeBool(value);
}

/// Reads a struct; fields for which `readField` returns false are skipped.
inline void readStruct(
    Protocol& in, const std::function<bool(std::int16_t, apache::thrift::protocol::TType)>& readField)
{
    std::string name;
    apache::thrift::protocol::TType type {};
    std::int16_t id = 0;
    in.readStructBegin(name);
    while (true) {
        in.readFieldBegin(name, type, id);
        if (type == apache::thrift::protocol::T_STOP)
            break;
        if (!readField(id, type))
            in.skip(type);
        in.readFieldEnd();
    }
    in.readStructEnd();
}

/// Reads `bytes`, which must outlive the result and are at most `maxBytes`.
inline Protocol protocolOver(std::string_view bytes, std::size_t maxBytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    constexpr int MaxNesting = 8;
    constexpr std::int32_t MaxListElements = 64;
    auto limit = static_cast<int>(maxBytes);
    auto limits = std::make_shared<apache::thrift::TConfiguration>(limit, limit, MaxNesting);
    // Thrift takes a pointer to mutable bytes, but a buffer in OBSERVE mode only reads them.
    auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, limits);
    return Protocol(buffer, limit, MaxListElements);
}

} // namespace peridotgrade::compact_fields
