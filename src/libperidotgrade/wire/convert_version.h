// Conversions between the messages of configuration versions and quarantines and their Thrift types.
#pragma once

#include "convert_values.h"

#include "peridotgrade/core/messages/version_messages.h"

namespace peridotgrade {

wire::VersionNotice toWire(const VersionNotice& value);
VersionNotice fromWire(wire::VersionNotice&& value);
wire::FetchConfiguration toWire(const FetchConfiguration& value);
FetchConfiguration fromWire(wire::FetchConfiguration&& value);
wire::ConfigurationSnapshot toWire(const ConfigurationSnapshot& value);
ConfigurationSnapshot fromWire(wire::ConfigurationSnapshot&& value);
wire::QuarantineNotice toWire(const QuarantineNotice& value);
QuarantineNotice fromWire(wire::QuarantineNotice&& value);

} // namespace peridotgrade
