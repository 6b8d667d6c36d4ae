// Conversions of the messages about places at engines.
#pragma once

#include "convert_values.h"

#include "peridotgrade/core/messages/place_messages.h"

namespace peridotgrade {

wire::AskPlace toWire(const AskPlace& value);
AskPlace fromWire(wire::AskPlace&& value);
wire::PlaceGranted toWire(const PlaceGranted& value);
PlaceGranted fromWire(wire::PlaceGranted&& value);
wire::PlaceRefused toWire(const PlaceRefused& value);
PlaceRefused fromWire(wire::PlaceRefused&& value);
wire::ReleaseAttempt toWire(const ReleaseAttempt& value);
ReleaseAttempt fromWire(wire::ReleaseAttempt&& value);

} // namespace peridotgrade
