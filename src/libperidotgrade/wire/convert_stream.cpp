// Field-by-field conversions of the messages of prefill, KV transfer and token streams.
#include "convert_stream.h"

namespace peridotgrade {

wire::StartPrefill toWire(const StartPrefill& value)
{
    wire::StartPrefill result;
    result.epoch = rawOf(value.epoch);
    result.attempt = toWire(value.attempt);
    result.model = value.model.raw();
    result.fingerprint = rawOf(value.fingerprint);
    result.priority = rawEnum(value.priority);
    result.prompt = value.prompt;
    result.promptTokens = static_cast<std::int32_t>(value.promptTokens);
    result.timeLeftMs = value.timeLeft.count();
    result.isSuspect = value.isSuspect;
    result.version = rawOf(value.version);
    return result;
}

StartPrefill fromWire(wire::StartPrefill&& value)
{
    StartPrefill result;
    result.epoch = idFrom<SessionEpoch>(value.epoch);
    result.attempt = fromWire(value.attempt);
    result.model = ModelId { std::move(value.model) };
    result.fingerprint = idFrom<Fingerprint>(value.fingerprint);
    result.priority = enumFrom(value.priority, Priority::Patient);
    result.prompt = std::move(value.prompt);
    result.promptTokens = static_cast<std::uint32_t>(value.promptTokens);
    result.timeLeft = millisecondsFrom(value.timeLeftMs);
    result.isSuspect = value.isSuspect;
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::PrefillFinished toWire(const PrefillFinished& value)
{
    wire::PrefillFinished result;
    result.attempt = toWire(value.attempt);
    result.handle = value.handle.raw();
    result.exporter = value.exporter;
    result.kvBytes = static_cast<std::int64_t>(value.kvBytes);
    result.cachedTokens = static_cast<std::int32_t>(value.cachedTokens);
    result.keptForMs = value.keptFor.count();
    result.load = toWire(value.load);
    return result;
}

PrefillFinished fromWire(wire::PrefillFinished&& value)
{
    PrefillFinished result;
    result.attempt = fromWire(value.attempt);
    result.handle = KvHandle { std::move(value.handle) };
    result.exporter = std::move(value.exporter);
    result.kvBytes = static_cast<std::uint64_t>(value.kvBytes);
    result.cachedTokens = static_cast<std::uint32_t>(value.cachedTokens);
    result.keptFor = millisecondsFrom(value.keptForMs);
    result.load = fromWire(value.load);
    return result;
}

wire::StartDecode toWire(const StartDecode& value)
{
    wire::StartDecode result;
    result.epoch = rawOf(value.epoch);
    result.attempt = toWire(value.attempt);
    result.model = value.model.raw();
    result.prompt = value.prompt;
    result.firstIndex = static_cast<std::int32_t>(value.firstIndex);
    result.maxOutputTokens = static_cast<std::int32_t>(value.maxOutputTokens);
    result.priority = rawEnum(value.priority);
    result.handle = value.handle.raw();
    result.exporter = value.exporter;
    result.timeLeftMs = value.timeLeft.count();
    result.version = rawOf(value.version);
    return result;
}

StartDecode fromWire(wire::StartDecode&& value)
{
    StartDecode result;
    result.epoch = idFrom<SessionEpoch>(value.epoch);
    result.attempt = fromWire(value.attempt);
    result.model = ModelId { std::move(value.model) };
    result.prompt = std::move(value.prompt);
    result.firstIndex = static_cast<std::uint32_t>(value.firstIndex);
    result.maxOutputTokens = static_cast<std::uint32_t>(value.maxOutputTokens);
    result.priority = enumFrom(value.priority, Priority::Patient);
    result.handle = KvHandle { std::move(value.handle) };
    result.exporter = std::move(value.exporter);
    result.timeLeft = millisecondsFrom(value.timeLeftMs);
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::TokenFrame toWire(const TokenFrame& value)
{
    wire::TokenFrame result;
    result.attempt = toWire(value.attempt);
    result.firstIndex = static_cast<std::int32_t>(value.firstIndex);
    result.pieces = value.pieces;
    result.isLast = value.isLast;
    result.finishReason = rawEnum(value.finishReason);
    return result;
}

TokenFrame fromWire(wire::TokenFrame&& value)
{
    TokenFrame result;
    result.attempt = fromWire(value.attempt);
    result.firstIndex = static_cast<std::uint32_t>(value.firstIndex);
    result.pieces = std::move(value.pieces);
    result.isLast = value.isLast;
    result.finishReason = enumFrom(value.finishReason, FinishReason::Length);
    return result;
}

wire::AttemptFailed toWire(const AttemptFailed& value)
{
    wire::AttemptFailed result;
    result.attempt = toWire(value.attempt);
    result.reason = rawEnum(value.reason);
    result.load = toWire(value.load);
    return result;
}

AttemptFailed fromWire(wire::AttemptFailed&& value)
{
    AttemptFailed result;
    result.attempt = fromWire(value.attempt);
    result.reason = enumFrom(value.reason, AttemptFailure::SuspectPresent);
    result.load = fromWire(value.load);
    return result;
}

wire::EngineCrashed toWire(const EngineCrashed& value)
{
    wire::EngineCrashed result;
    result.running = rawOf(value.running);
    result.engine = static_cast<std::int64_t>(value.engine.raw());
    return result;
}

EngineCrashed fromWire(wire::EngineCrashed&& value)
{
    EngineCrashed result;
    result.running = idsFrom<Fingerprint>(value.running);
    result.engine = Incarnation { static_cast<std::uint64_t>(value.engine) };
    return result;
}

wire::CacheChanged toWire(const CacheChanged& value)
{
    wire::CacheChanged result;
    result.sequence = static_cast<std::int64_t>(value.sequence);
    result.addedPrefixes = std::vector<std::int64_t>(value.addedPrefixes.begin(), value.addedPrefixes.end());
    result.evictedPrefixes
        = std::vector<std::int64_t>(value.evictedPrefixes.begin(), value.evictedPrefixes.end());
    return result;
}

CacheChanged fromWire(wire::CacheChanged&& value)
{
    CacheChanged result;
    result.sequence = static_cast<std::uint64_t>(value.sequence);
    result.addedPrefixes = std::vector<std::uint64_t>(value.addedPrefixes.begin(), value.addedPrefixes.end());
    result.evictedPrefixes
        = std::vector<std::uint64_t>(value.evictedPrefixes.begin(), value.evictedPrefixes.end());
    return result;
}

} // namespace peridotgrade
