// Messages that carry the configuration's version between processes.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// Either way: the sender has this version in force. Whoever is behind fetches it from the log or asks the
/// peer.
struct VersionNotice {
    ConfigVersion version;
};

/// Either way: send me your configuration if it is newer than `have`. Used when the log is out of reach.
struct FetchConfiguration {
    ConfigVersion have;
};

/// The whole configuration at `version`, as the fold's snapshot text (JSON).
struct ConfigurationSnapshot {
    ConfigVersion version;
    std::string snapshot;
};

/// Either way: these requests crash their servers. Spread by word when the log is out of reach.
struct QuarantineNotice {
    std::vector<Fingerprint> quarantined;
};

} // namespace peridotgrade
