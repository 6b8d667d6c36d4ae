// Service and software version at which a stream began.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/serving/server_record.h"

#include <string>

namespace peridotgrade {

/// Service and software version of the server that sent the first event of a stream. The events of two
/// versions do not fit together, so the stream may go on at servers of that version only.
struct StreamOrigin {
    ServiceId service;
    SoftwareVersion version;

    friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// The origin of a stream, by the id of the caller's attempt that brought its first event.
struct StreamOriginRecord {
    std::string attempt;
    StreamOrigin origin;
    /// Equal for equal requests, which a caller may send several times; zero if it is not known.
    Fingerprint content {};
};

} // namespace peridotgrade
