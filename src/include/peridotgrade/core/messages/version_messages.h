// Messages that announce and transfer configuration versions between processes.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// Either direction: the sender has this version in force. A receiver that is behind fetches it from the log
/// or from the peer.
struct VersionNotice {
    ConfigVersion version;
};

/// Either direction: asks for the peer's configuration if it is newer than `have`. Used when the log is
/// unreachable.
struct FetchConfiguration {
    ConfigVersion have;
};

/// The whole configuration at `version`, as a JSON snapshot.
struct ConfigurationSnapshot {
    ConfigVersion version;
    std::string snapshot;
};

/// Either direction: these requests crash their servers. Sent from process to process when the log is
/// unreachable.
struct QuarantineNotice {
    std::vector<Fingerprint> quarantined;
};

} // namespace peridotgrade
