// Reads and writes the structs QuotaFrame, QuotaRequest and QuotaGrant of peridot.thrift.
#include "peridotgrade/wire/quota_codec.h"

#include "compact_fields.h"

#include <cmath>
#include <cstdint>
#include <memory>

namespace peridotgrade {

namespace {

    using apache::thrift::TException;
    using apache::thrift::protocol::TType;
    using apache::thrift::transport::TMemoryBuffer;
    namespace protocol = apache::thrift::protocol;
    using namespace compact_fields;

    constexpr std::int16_t RequestField = 1;
    constexpr std::int16_t GrantField = 2;
    // Far above any limit, and sums of such numbers stay exact enough in a double.
    constexpr double MaxTokens = 1e15;
    // A year, so that times in nanoseconds do not overflow.
    constexpr std::int64_t MaxRetryAfterMs = 365LL * 24 * 3600 * 1000;

    void writeFields(Protocol& out, const QuotaRequest& request)
    {
        write(out, 1, static_cast<std::int64_t>(request.requestId));
        write(out, 2, request.member);
        write(out, 3, static_cast<std::int64_t>(request.configVersion));
        write(out, 4, request.tenant.raw());
        write(out, 5, request.tokens);
        write(out, 6, request.needed);
        write(out, 7, request.returned);
        write(out, 8, request.recentlyUsed);
        write(out, 9, request.waiting);
    }

    void writeFields(Protocol& out, const QuotaGrant& grant)
    {
        write(out, 1, static_cast<std::int64_t>(grant.requestId));
        write(out, 2, grant.tenant.raw());
        write(out, 3, grant.tokens);
        write(out, 4, static_cast<std::int64_t>(grant.retryAfter.count()));
        write(out, 5, grant.isHolder);
        write(out, 6, grant.holder);
    }

    /// The fields of one struct, by type; fields that are missing keep their default.
    struct Fields {
        std::int64_t numbers[10] {};
        double amounts[10] {};
        std::string texts[10];
        bool flags[10] {};
    };

    Fields readFields(Protocol& in)
    {
        Fields fields;
        readStruct(in, [&](std::int16_t id, TType type) {
            if (id < 1 || id > 9)
                return false;
            if (type == protocol::T_I64)
                in.readI64(fields.numbers[id]);
            else if (type == protocol::T_DOUBLE)
                in.readDouble(fields.amounts[id]);
            else if (type == protocol::T_STRING)
                in.readString(fields.texts[id]);
            else if (type == protocol::T_BOOL)
                in.readBool(fields.flags[id]);
            else
                return false;
            return true;
        });
        return fields;
    }

    bool isValid(const Fields& fields)
    {
        for (std::int64_t number : fields.numbers) {
            if (number < 0)
                return false;
        }
        for (double amount : fields.amounts) {
            bool isInRange = amount >= 0 && amount <= MaxTokens;
            if (!isInRange)
                return false;
        }
        return true;
    }

    std::optional<QuotaMessage> requestFrom(const Fields& fields)
    {
        if (!isValid(fields) || fields.texts[2].empty() || fields.texts[4].empty())
            return std::nullopt;
        return QuotaRequest { static_cast<std::uint64_t>(fields.numbers[1]), fields.texts[2],
            static_cast<std::uint64_t>(fields.numbers[3]), TenantId { fields.texts[4] }, fields.amounts[5],
            fields.amounts[6], fields.amounts[9], fields.amounts[7], fields.amounts[8] };
    }

    std::optional<QuotaMessage> grantFrom(const Fields& fields)
    {
        if (!isValid(fields) || fields.texts[2].empty() || fields.numbers[4] > MaxRetryAfterMs)
            return std::nullopt;
        return QuotaGrant { static_cast<std::uint64_t>(fields.numbers[1]), TenantId { fields.texts[2] },
            fields.amounts[3], std::chrono::milliseconds { fields.numbers[4] }, fields.flags[5],
            fields.texts[6] };
    }

} // namespace

std::string encodeQuotaMessage(const QuotaMessage& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol out(buffer);
    bool isRequest = std::holds_alternative<QuotaRequest>(message);
    out.writeStructBegin("");
    out.writeFieldBegin("", protocol::T_STRUCT, isRequest ? RequestField : GrantField);
    out.writeStructBegin("");
    std::visit([&](const auto& fields) { writeFields(out, fields); }, message);
    out.writeFieldStop();
    out.writeStructEnd();
    out.writeFieldStop();
    out.writeStructEnd();
    return buffer->getBufferAsString();
}

std::optional<QuotaMessage> decodeQuotaMessage(std::string_view bytes)
{
    if (bytes.size() > MaxQuotaFrameBytes)
        return std::nullopt;
    Protocol in = protocolOver(bytes, MaxQuotaFrameBytes);
    std::optional<QuotaMessage> message;
    try {
        readStruct(in, [&](std::int16_t id, TType type) {
            if (type != protocol::T_STRUCT || (id != RequestField && id != GrantField))
                return false;
            Fields fields = readFields(in);
            message = id == RequestField ? requestFrom(fields) : grantFrom(fields);
            return true;
        });
    } catch (const TException&) {
        return std::nullopt;
    }
    return message;
}

} // namespace peridotgrade
