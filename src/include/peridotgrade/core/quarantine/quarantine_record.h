// A record of the quarantine stream: fingerprints of requests that crash their servers.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Tells every entry which fingerprints are quarantined. Records only add fingerprints; applying one twice
/// has no further effect.
struct QuarantineRecord {
    EntryId entry;
    std::vector<Fingerprint> quarantined;
};

/// Error for a record of the quarantine stream that is not a valid one.
struct QuarantineFormatError {
    std::string detail;
};

/// Encodes a record as one line of JSON, as stored in the log.
std::string encodeQuarantineRecord(const QuarantineRecord& record);
std::variant<QuarantineRecord, QuarantineFormatError> decodeQuarantineRecord(const std::string& data);

} // namespace peridotgrade
