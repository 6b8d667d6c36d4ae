// Conversions of values that several messages share: ids, enumerators, times and nested structs.
#pragma once

#include "peridot_types.h"

#include "peridotgrade/core/base/strong_id.h"
#include "peridotgrade/core/messages/action_messages.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <vector>

namespace peridotgrade {

/// Thrown for an enumerator that this version does not define. The codec catches it and returns a WireError.
class UnknownEnumerator : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

template <typename Tag> std::int64_t rawOf(const StrongId<Tag, std::uint64_t>& id)
{
    return static_cast<std::int64_t>(id.raw());
}

template <typename Id> Id idFrom(std::int64_t raw) { return Id { static_cast<std::uint64_t>(raw) }; }

template <typename Id> std::vector<std::int64_t> rawOf(const std::vector<Id>& ids)
{
    std::vector<std::int64_t> result;
    result.reserve(ids.size());
    for (const Id& id : ids)
        result.push_back(rawOf(id));
    return result;
}

template <typename Id> std::vector<Id> idsFrom(const std::vector<std::int64_t>& raw)
{
    std::vector<Id> result;
    result.reserve(raw.size());
    for (std::int64_t id : raw)
        result.push_back(idFrom<Id>(id));
    return result;
}

/// Returns the position of an enumerator; `Enum` has the underlying type uint8_t.
template <typename Enum> std::int8_t rawEnum(Enum value) { return static_cast<std::int8_t>(value); }

template <typename Enum> Enum enumFrom(std::int8_t raw, Enum last)
{
    if (raw < 0 || raw > static_cast<std::int8_t>(last))
        throw UnknownEnumerator("unknown enumerator " + std::to_string(raw));
    return static_cast<Enum>(raw);
}

inline std::chrono::milliseconds millisecondsFrom(std::int64_t raw)
{
    // Clamps a peer's value so that it does not overflow when it is converted to nanoseconds.
    constexpr std::int64_t MaxMilliseconds
        = std::chrono::milliseconds { std::chrono::hours { 24 * 366 } }.count();
    if (raw > MaxMilliseconds)
        return std::chrono::milliseconds { MaxMilliseconds };
    if (raw < -MaxMilliseconds)
        return std::chrono::milliseconds { -MaxMilliseconds };
    return std::chrono::milliseconds { raw };
}

wire::AttemptId toWire(const AttemptId& value);
AttemptId fromWire(const wire::AttemptId& value);
wire::LiveLoad toWire(const LiveLoad& value);
LiveLoad fromWire(const wire::LiveLoad& value);
wire::ApplicationCall toWire(const ApplicationCall& value);
ApplicationCall fromWire(wire::ApplicationCall&& value);
wire::ApplicationAnswer toWire(const ApplicationAnswer& value);
ApplicationAnswer fromWire(wire::ApplicationAnswer&& value);

} // namespace peridotgrade
