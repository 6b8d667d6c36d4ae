// Conversions between the messages of prefill, KV transfer and token streams and their Thrift types.
#pragma once

#include "convert_values.h"

#include "peridotgrade/core/messages/stream_messages.h"

namespace peridotgrade {

wire::StartPrefill toWire(const StartPrefill& value);
StartPrefill fromWire(wire::StartPrefill&& value);
wire::PrefillFinished toWire(const PrefillFinished& value);
PrefillFinished fromWire(wire::PrefillFinished&& value);
wire::StartDecode toWire(const StartDecode& value);
StartDecode fromWire(wire::StartDecode&& value);
wire::TokenFrame toWire(const TokenFrame& value);
TokenFrame fromWire(wire::TokenFrame&& value);
wire::AttemptFailed toWire(const AttemptFailed& value);
AttemptFailed fromWire(wire::AttemptFailed&& value);
wire::EngineCrashed toWire(const EngineCrashed& value);
EngineCrashed fromWire(wire::EngineCrashed&& value);
wire::CacheChanged toWire(const CacheChanged& value);
CacheChanged fromWire(wire::CacheChanged&& value);

} // namespace peridotgrade
