// Field-by-field conversions of the messages of configuration versions and quarantines.
#include "convert_version.h"

namespace peridotgrade {

wire::VersionNotice toWire(const VersionNotice& value)
{
    wire::VersionNotice result;
    result.version = rawOf(value.version);
    return result;
}

VersionNotice fromWire(wire::VersionNotice&& value)
{
    VersionNotice result;
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::FetchConfiguration toWire(const FetchConfiguration& value)
{
    wire::FetchConfiguration result;
    result.have = rawOf(value.have);
    return result;
}

FetchConfiguration fromWire(wire::FetchConfiguration&& value)
{
    FetchConfiguration result;
    result.have = idFrom<ConfigVersion>(value.have);
    return result;
}

wire::ConfigurationSnapshot toWire(const ConfigurationSnapshot& value)
{
    wire::ConfigurationSnapshot result;
    result.version = rawOf(value.version);
    result.snapshot = value.snapshot;
    return result;
}

ConfigurationSnapshot fromWire(wire::ConfigurationSnapshot&& value)
{
    ConfigurationSnapshot result;
    result.version = idFrom<ConfigVersion>(value.version);
    result.snapshot = std::move(value.snapshot);
    return result;
}

wire::QuarantineNotice toWire(const QuarantineNotice& value)
{
    wire::QuarantineNotice result;
    result.quarantined = rawOf(value.quarantined);
    return result;
}

QuarantineNotice fromWire(wire::QuarantineNotice&& value)
{
    QuarantineNotice result;
    result.quarantined = idsFrom<Fingerprint>(value.quarantined);
    return result;
}

} // namespace peridotgrade
