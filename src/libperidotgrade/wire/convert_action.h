// Conversions between the messages of application calls and their Thrift types.
#pragma once

#include "convert_values.h"

#include "peridotgrade/core/messages/action_messages.h"

namespace peridotgrade {

wire::StartRead toWire(const StartRead& value);
StartRead fromWire(wire::StartRead&& value);
wire::ReadAnswered toWire(const ReadAnswered& value);
ReadAnswered fromWire(wire::ReadAnswered&& value);
wire::ReadFailed toWire(const ReadFailed& value);
ReadFailed fromWire(wire::ReadFailed&& value);
wire::StartAction toWire(const StartAction& value);
StartAction fromWire(wire::StartAction&& value);
wire::QueryAction toWire(const QueryAction& value);
QueryAction fromWire(wire::QueryAction&& value);
wire::ActionReport toWire(const ActionReport& value);
ActionReport fromWire(wire::ActionReport&& value);

} // namespace peridotgrade
