// Conversions between the messages of reservations and their Thrift types.
#pragma once

#include "convert_values.h"

#include "peridotgrade/core/messages/reservation_messages.h"

namespace peridotgrade {

wire::AskPlace toWire(const ReservationRequest& value);
ReservationRequest fromWire(wire::AskPlace&& value);
wire::PlaceGranted toWire(const ReservationGranted& value);
ReservationGranted fromWire(wire::PlaceGranted&& value);
wire::PlaceRefused toWire(const ReservationRefused& value);
ReservationRefused fromWire(wire::PlaceRefused&& value);
wire::ReleaseAttempt toWire(const ReleaseAttempt& value);
ReleaseAttempt fromWire(wire::ReleaseAttempt&& value);

} // namespace peridotgrade
