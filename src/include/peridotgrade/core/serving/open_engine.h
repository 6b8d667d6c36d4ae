// An engine that may be asked for a reservation, with what the choice among engines needs of it.
#pragma once

#include "peridotgrade/core/serving/server_record.h"

#include <cstdint>
#include <limits>

namespace peridotgrade {

struct OpenEngine {
    const ServerRecord* record = nullptr;
    /// Reserved there by this entry.
    std::uint64_t tokens = 0;
    /// Tokens of other entries that are expected to wait there.
    std::uint64_t backlog = 0;
    /// Penalty in tokens for another data centre.
    std::uint64_t distance = 0;
    double factor = 1;
    /// Its events come later than its routes allow.
    bool isLate = false;
    /// Only requests below this size may be sent, since the engine has just refused a similar size.
    double sizeLimit = std::numeric_limits<double>::infinity();

    bool accepts(std::uint32_t size) const { return size < this->sizeLimit; }
};

} // namespace peridotgrade
