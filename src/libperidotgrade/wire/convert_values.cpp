// Conversions of the nested structs that several messages share.
#include "convert_values.h"

#include <cmath>

namespace peridotgrade {

namespace {

    std::vector<wire::HeaderField> toWire(const std::vector<HeaderField>& fields)
    {
        std::vector<wire::HeaderField> result;
        result.reserve(fields.size());
        for (const HeaderField& field : fields) {
            auto& added = result.emplace_back();
            added.name = field.name;
            added.value = field.value;
        }
        return result;
    }

    std::vector<HeaderField> fromWire(std::vector<wire::HeaderField>&& fields)
    {
        std::vector<HeaderField> result;
        result.reserve(fields.size());
        for (wire::HeaderField& field : fields)
            result.push_back(HeaderField { std::move(field.name), std::move(field.value) });
        return result;
    }

} // namespace

wire::AttemptId toWire(const AttemptId& value)
{
    wire::AttemptId result;
    result.request = rawOf(value.request);
    result.number = static_cast<std::int32_t>(value.number);
    return result;
}

AttemptId fromWire(const wire::AttemptId& value)
{
    return AttemptId { idFrom<RequestId>(value.request), static_cast<std::uint32_t>(value.number) };
}

wire::LiveLoad toWire(const LiveLoad& value)
{
    wire::LiveLoad result;
    result.placesFree = static_cast<std::int32_t>(value.placesFree);
    result.placesTotal = static_cast<std::int32_t>(value.placesTotal);
    result.asksQueued = static_cast<std::int32_t>(value.asksQueued);
    result.prefillBacklogMs = value.prefillBacklog.count();
    result.prefillTokensPerSecond = value.prefillTokensPerSecond;
    return result;
}

LiveLoad fromWire(const wire::LiveLoad& value)
{
    LiveLoad result;
    result.placesFree = static_cast<std::uint32_t>(value.placesFree);
    result.placesTotal = static_cast<std::uint32_t>(value.placesTotal);
    result.asksQueued = static_cast<std::uint32_t>(value.asksQueued);
    result.prefillBacklog = millisecondsFrom(value.prefillBacklogMs);
    // A rate that is not finite and positive counts as unknown: NaN or infinity would break comparisons.
    if (std::isfinite(value.prefillTokensPerSecond) && value.prefillTokensPerSecond > 0)
        result.prefillTokensPerSecond = value.prefillTokensPerSecond;
    return result;
}

wire::ApplicationCall toWire(const ApplicationCall& value)
{
    wire::ApplicationCall result;
    result.method = value.method;
    result.target = value.target;
    result.contentType = value.contentType;
    result.headers = toWire(value.headers);
    result.body = value.body;
    return result;
}

ApplicationCall fromWire(wire::ApplicationCall&& value)
{
    ApplicationCall result;
    result.method = std::move(value.method);
    result.target = std::move(value.target);
    result.contentType = std::move(value.contentType);
    result.headers = fromWire(std::move(value.headers));
    result.body = std::move(value.body);
    return result;
}

wire::ApplicationAnswer toWire(const ApplicationAnswer& value)
{
    wire::ApplicationAnswer result;
    result.status = static_cast<std::int16_t>(value.status);
    result.contentType = value.contentType;
    result.headers = toWire(value.headers);
    result.body = value.body;
    return result;
}

ApplicationAnswer fromWire(wire::ApplicationAnswer&& value)
{
    ApplicationAnswer result;
    result.status = static_cast<std::uint16_t>(value.status);
    result.contentType = std::move(value.contentType);
    result.headers = fromWire(std::move(value.headers));
    result.body = std::move(value.body);
    return result;
}

} // namespace peridotgrade
