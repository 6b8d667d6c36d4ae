// Conversions between the messages of the sessions between entry shards and agents and their Thrift types.
#pragma once

#include "convert_values.h"

#include "peridotgrade/core/messages/session_messages.h"

namespace peridotgrade {

wire::OpenSession toWire(const OpenSession& value);
OpenSession fromWire(wire::OpenSession&& value);
wire::SessionOpened toWire(const SessionOpened& value);
SessionOpened fromWire(wire::SessionOpened&& value);
wire::RenewSession toWire(const RenewSession& value);
RenewSession fromWire(wire::RenewSession&& value);
wire::SessionRefused toWire(const SessionRefused& value);
SessionRefused fromWire(wire::SessionRefused&& value);
wire::Draining toWire(const Draining& value);
Draining fromWire(wire::Draining&& value);

} // namespace peridotgrade
