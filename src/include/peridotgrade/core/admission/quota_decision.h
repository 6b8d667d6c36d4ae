// Decisions of an entry on whether a request is within its tenant's quota.
#pragma once

#include "peridotgrade/core/base/strong_id.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <variant>

namespace peridotgrade {

/// What a request was charged to.
enum class QuotaSource : std::uint8_t {
    /// Tokens that the holder of the account granted.
    Balance,
    /// The entry's own share, while the holder does not answer.
    OwnShare,
};

struct QuotaRefusal {
    /// Earliest time at which the request may be within the quota.
    Duration wait {};
    /// What refused: the holder or the own share.
    QuotaSource source = QuotaSource::Balance;
};

using QuotaResult = std::variant<QuotaSource, QuotaRefusal>;

/// A request that waits for the holder's answer.
using QuotaTicket = StrongId<struct QuotaTicketTag, std::uint64_t>;

using QuotaDecision = std::variant<QuotaSource, QuotaRefusal, QuotaTicket>;

} // namespace peridotgrade
