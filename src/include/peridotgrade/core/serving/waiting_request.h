// A request that waits for memory at an engine, as the admission queue sees it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/request_priority.h"
#include "peridotgrade/core/serving/server_record.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotgrade {

struct WaitingRequest {
    RequestId id;
    /// After this time the request can no longer be served usefully and is rejected.
    TimePoint due;
    std::uint32_t tokens = 0;
    /// The only software version that may serve the request: that of the stream which it resumes. Nothing if
    /// there is none.
    std::optional<SoftwareVersion> version;
    /// The same for all requests where the configuration has no priorities.
    RequestPriority priority;
    /// Goes before first attempts of its priority. False where the configuration has no priorities.
    bool goesFirst = false;
    /// After this time the answer would be late, and the request asks less often. It is rejected then if
    /// another one that is at least as urgent waits; nothing if it waits until `due` in any case.
    std::optional<TimePoint> onTimeUntil;
    /// A retry whose answer is late already, counted from its caller's first attempt. It yields to requests
    /// that can be on time. False where the configuration has priorities.
    bool isLate = false;
    /// The versions that may serve a request without `version`; nothing if any may.
    std::optional<std::vector<SoftwareVersion>> versions;

    bool mayBeServedAt(const SoftwareVersion& candidate) const
    {
        if (this->version)
            return candidate == *this->version;
        return !this->versions
            || std::find(this->versions->begin(), this->versions->end(), candidate) != this->versions->end();
    }
};

} // namespace peridotgrade
