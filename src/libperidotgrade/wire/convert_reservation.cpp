// Field-by-field conversions of the messages of reservations.
#include "convert_reservation.h"

namespace peridotgrade {

wire::AskPlace toWire(const ReservationRequest& value)
{
    wire::AskPlace result;
    result.epoch = rawOf(value.epoch);
    result.attempt = toWire(value.attempt);
    result.model = value.model.raw();
    result.fingerprint = rawOf(value.fingerprint);
    result.priority = rawEnum(value.priority);
    result.promptTokens = static_cast<std::int32_t>(value.promptTokens);
    result.maxOutputTokens = static_cast<std::int32_t>(value.maxOutputTokens);
    result.maxQueueTimeMs = value.maxQueueTime.count();
    result.isSuspect = value.isSuspect;
    result.version = rawOf(value.version);
    return result;
}

ReservationRequest fromWire(wire::AskPlace&& value)
{
    ReservationRequest result;
    result.epoch = idFrom<SessionEpoch>(value.epoch);
    result.attempt = fromWire(value.attempt);
    result.model = ModelId { std::move(value.model) };
    result.fingerprint = idFrom<Fingerprint>(value.fingerprint);
    result.priority = enumFrom(value.priority, Priority::Patient);
    result.promptTokens = static_cast<std::uint32_t>(value.promptTokens);
    result.maxOutputTokens = static_cast<std::uint32_t>(value.maxOutputTokens);
    result.maxQueueTime = millisecondsFrom(value.maxQueueTimeMs);
    result.isSuspect = value.isSuspect;
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::PlaceGranted toWire(const ReservationGranted& value)
{
    wire::PlaceGranted result;
    result.attempt = toWire(value.attempt);
    result.load = toWire(value.load);
    return result;
}

ReservationGranted fromWire(wire::PlaceGranted&& value)
{
    ReservationGranted result;
    result.attempt = fromWire(value.attempt);
    result.load = fromWire(value.load);
    return result;
}

wire::PlaceRefused toWire(const ReservationRefused& value)
{
    wire::PlaceRefused result;
    result.attempt = toWire(value.attempt);
    result.reason = rawEnum(value.reason);
    result.expectedWaitMs = value.expectedWait.count();
    result.load = toWire(value.load);
    return result;
}

ReservationRefused fromWire(wire::PlaceRefused&& value)
{
    ReservationRefused result;
    result.attempt = fromWire(value.attempt);
    result.reason = enumFrom(value.reason, ReservationRefusalReason::EngineDown);
    result.expectedWait = millisecondsFrom(value.expectedWaitMs);
    result.load = fromWire(value.load);
    return result;
}

wire::ReleaseAttempt toWire(const ReleaseAttempt& value)
{
    wire::ReleaseAttempt result;
    result.epoch = rawOf(value.epoch);
    result.attempt = toWire(value.attempt);
    return result;
}

ReleaseAttempt fromWire(wire::ReleaseAttempt&& value)
{
    ReleaseAttempt result;
    result.epoch = idFrom<SessionEpoch>(value.epoch);
    result.attempt = fromWire(value.attempt);
    return result;
}

} // namespace peridotgrade
