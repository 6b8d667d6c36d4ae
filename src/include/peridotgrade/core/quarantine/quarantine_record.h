// A record of the quarantine stream: these requests crash their servers.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Tells every entry which fingerprints are quarantined. Records only add; folding one twice changes nothing.
struct QuarantineRecord {
    EntryId entry;
    std::vector<Fingerprint> quarantined;
};

/// A record of the quarantine stream that is none of ours.
struct QuarantineFormatError {
    std::string detail;
};

/// One line of JSON, as stored in the log.
std::string encodeQuarantineRecord(const QuarantineRecord& record);
std::variant<QuarantineRecord, QuarantineFormatError> decodeQuarantineRecord(const std::string& data);

} // namespace peridotgrade
