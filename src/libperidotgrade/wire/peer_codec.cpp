// Reads and writes the structs RoleNotice, EndNotice and PaceDigest of peridot.thrift.
#include "peridotgrade/wire/peer_codec.h"

#include "compact_fields.h"

#include <string>
#include <utility>
#include <vector>

namespace peridotgrade {

namespace {

    using apache::thrift::TException;
    using apache::thrift::protocol::TType;
    using apache::thrift::transport::TMemoryBuffer;
    namespace protocol = apache::thrift::protocol;
    using namespace compact_fields;

    constexpr std::size_t PrefixBytes = 2;
    // Numbers of the types, in the order of `PeerMessage`.
    constexpr std::uint8_t RoleType = 1;
    constexpr std::uint8_t EndType = 2;
    constexpr std::uint8_t DigestType = 3;
    // A day, so that times in nanoseconds do not overflow.
    constexpr std::int64_t MaxDurationMs = 24LL * 3600 * 1000;

    /// Fields of any of the structs; those that are missing keep their default.
    struct Fields {
        std::string server;
        std::int64_t startedAt = 0;
        /// Role or kind.
        std::int64_t enumerator = 0;
        std::int64_t durationMs = 0;
        double meanLog = 0;
        double weight = 0;
        std::vector<Fields> entries;
    };

    // Numbers of the fields; each struct uses some of them.
    constexpr std::int16_t ServerField = 1;
    constexpr std::int16_t StartedAtField = 2;
    constexpr std::int16_t EnumeratorField = 3;
    constexpr std::int16_t DurationField = 4;
    constexpr std::int16_t MeanLogField = 5;
    constexpr std::int16_t WeightField = 6;
    constexpr std::int16_t EntriesField = 7;

    WallTime wallTime(std::int64_t count) { return WallTime { WallTime::duration { count } }; }

    void writeIncarnation(Protocol& out, const ServerId& server, WallTime startedAt)
    {
        write(out, ServerField, server.raw());
        write(out, StartedAtField, static_cast<std::int64_t>(startedAt.time_since_epoch().count()));
    }

    void writeFields(Protocol& out, const RoleNotice& notice)
    {
        writeIncarnation(out, notice.server, notice.startedAt);
        write(out, EnumeratorField, static_cast<std::int64_t>(notice.role));
        write(out, DurationField, static_cast<std::int64_t>(notice.duration.count()));
    }

    void writeFields(Protocol& out, const EndNotice& notice)
    {
        writeIncarnation(out, notice.server, notice.startedAt);
    }

    void writeFields(Protocol& out, const PaceDigest& digest)
    {
        out.writeFieldBegin("", protocol::T_LIST, EntriesField);
        out.writeListBegin(protocol::T_STRUCT, static_cast<std::uint32_t>(digest.entries.size()));
        for (const PaceEvidence& each : digest.entries) {
            out.writeStructBegin("");
            writeIncarnation(out, each.server, each.startedAt);
            write(out, EnumeratorField, static_cast<std::int64_t>(each.kind));
            write(out, MeanLogField, each.meanLog);
            write(out, WeightField, each.weight);
            out.writeFieldStop();
            out.writeStructEnd();
        }
        out.writeListEnd();
    }

    Fields readFields(Protocol& in, bool mayHaveEntries);

    void readEntries(Protocol& in, std::vector<Fields>& entries)
    {
        TType type {};
        std::uint32_t size = 0;
        in.readListBegin(type, size);
        if (type != protocol::T_STRUCT)
            throw TException("entries are no structs");
        for (std::uint32_t index = 0; index < size; ++index)
            entries.push_back(readFields(in, false));
        in.readListEnd();
    }

    Fields readFields(Protocol& in, bool mayHaveEntries)
    {
        Fields fields;
        readStruct(in, [&](std::int16_t id, TType type) {
            if (id == ServerField && type == protocol::T_STRING)
                in.readString(fields.server);
            else if (id == StartedAtField && type == protocol::T_I64)
                in.readI64(fields.startedAt);
            else if (id == EnumeratorField && type == protocol::T_I64)
                in.readI64(fields.enumerator);
            else if (id == DurationField && type == protocol::T_I64)
                in.readI64(fields.durationMs);
            else if (id == MeanLogField && type == protocol::T_DOUBLE)
                in.readDouble(fields.meanLog);
            else if (id == WeightField && type == protocol::T_DOUBLE)
                in.readDouble(fields.weight);
            else if (id == EntriesField && type == protocol::T_LIST && mayHaveEntries)
                readEntries(in, fields.entries);
            else
                return false;
            return true;
        });
        return fields;
    }

    std::optional<PeerMessage> roleFrom(const Fields& fields)
    {
        bool isRole
            = fields.enumerator >= 0 && fields.enumerator <= static_cast<std::int64_t>(ServerRole::Decode);
        bool hasDuration = fields.durationMs >= 0 && fields.durationMs <= MaxDurationMs;
        if (fields.server.empty() || !isRole || !hasDuration)
            return std::nullopt;
        return RoleNotice { ServerId { fields.server }, wallTime(fields.startedAt),
            static_cast<ServerRole>(fields.enumerator), std::chrono::milliseconds { fields.durationMs } };
    }

    std::optional<PeerMessage> endFrom(const Fields& fields)
    {
        if (fields.server.empty())
            return std::nullopt;
        return EndNotice { ServerId { fields.server }, wallTime(fields.startedAt) };
    }

    std::optional<PeerMessage> digestFrom(const Fields& fields)
    {
        PaceDigest digest;
        for (const Fields& each : fields.entries) {
            bool isKind
                = each.enumerator >= 0 && each.enumerator < static_cast<std::int64_t>(PaceSampleKinds);
            if (each.server.empty() || !isKind)
                return std::nullopt;
            digest.entries.push_back({ ServerId { each.server }, wallTime(each.startedAt),
                static_cast<PaceSample>(each.enumerator), each.meanLog, each.weight });
        }
        return digest;
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol out(buffer);
    out.writeStructBegin("");
    std::visit([&](const auto& fields) { writeFields(out, fields); }, message);
    out.writeFieldStop();
    out.writeStructEnd();
    std::string bytes;
    bytes += static_cast<char>(PeerMessageVersion);
    bytes += static_cast<char>(RoleType + message.index());
    return bytes + buffer->getBufferAsString();
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    bool hasPrefix = bytes.size() > PrefixBytes && bytes.size() <= MaxPeerMessageBytes
        && static_cast<std::uint8_t>(bytes[0]) == PeerMessageVersion;
    if (!hasPrefix)
        return std::nullopt;
    Protocol in = protocolOver(bytes.substr(PrefixBytes), MaxPeerMessageBytes);
    try {
        Fields fields = readFields(in, true);
        switch (static_cast<std::uint8_t>(bytes[1])) {
        case RoleType:
            return roleFrom(fields);
        case EndType:
            return endFrom(fields);
        case DigestType:
            return digestFrom(fields);
        default:
            return std::nullopt;
        }
    } catch (const TException&) {
        return std::nullopt;
    }
}

} // namespace peridotgrade
