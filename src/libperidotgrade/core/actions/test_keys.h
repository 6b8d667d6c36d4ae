// Keys and times for tests of actions.
#pragma once

#include "peridotgrade/core/actions/idempotency_key.h"

#include <iomanip>
#include <sstream>

namespace peridotgrade::testing {

/// Wall-clock time at which tests start.
inline const WallTime DayStart { std::chrono::hours { 24 * 365 * 50 } };

/// A version 7 UUID created at `time`; `serial` makes it unique.
inline IdempotencyKey keyAt(WallTime time, std::uint32_t serial)
{
    auto milliseconds = static_cast<std::uint64_t>(time.time_since_epoch().count());
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << (milliseconds >> 16) << '-' << std::setw(4)
         << (milliseconds & 0xffff) << "-7000-8000-" << std::setw(12) << serial;
    return IdempotencyKey { text.str() };
}

} // namespace peridotgrade::testing
