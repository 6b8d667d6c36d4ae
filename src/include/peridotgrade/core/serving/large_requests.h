// Service of large requests in an overload that lasts.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/priority_shares.h"
#include "peridotgrade/core/serving/server_record.h"
#include "peridotgrade/core/serving/waiting_request.h"

#include <chrono>
#include <map>
#include <vector>

namespace peridotgrade {

/// In an overload that lasts, memory of an average request is taken as soon as it is free, so that of a large
/// one never is, and no entry can add up pieces. While large requests are starved, each entry keeps its other
/// requests from some engines, the same at all entries, where pieces then add up. Not thread safe.
class LargeRequests {
public:
    /// A request of this many times the mean size is large: about the largest tenth.
    static constexpr double LargeRatio = 1.5;
    /// Large requests are starved if they are served less than this many times as often as all of their
    /// priority; above the half that is guaranteed, since the measurement is late.
    static constexpr double GuaranteedShare = 0.7;
    /// Engines are kept only while less than this share of all requests is served: with 0.9 the rule also
    /// applied in bursts of a few seconds, where fewer requests were on time (docs/design/bursts.md).
    static constexpr double OverloadShare = 0.7;
    /// With 0.3 of the engines, large requests of the most urgent priority were served less than half as
    /// often as all of it.
    static constexpr double KeptEngineShare = 0.4;
    /// Age at which an end counts 1/e. An entry may see one large request of a priority in some seconds.
    static constexpr std::chrono::seconds MemoryTime { 20 };

    explicit LargeRequests(const PriorityShares& shares)
        : shares(shares)
    {
    }

    void noteEnd(const WaitingRequest& request, bool isServed, TimePoint now);
    /// The request is large, and those of its priority are starved.
    bool isStarved(const WaitingRequest& request, TimePoint now) const;
    bool isLarge(const WaitingRequest& request) const;
    /// The engines that only large requests ask now: those with the lowest hashes.
    std::vector<const ServerRecord*> keptEngines(const std::vector<const ServerRecord*>& candidates) const;

private:
    struct Ends {
        double served = 0;
        double all = 0;
    };

    const PriorityShares& shares;
    /// Weights at `updatedAt`.
    std::map<RequestPriority, Ends> ends;
    TimePoint updatedAt {};
};

} // namespace peridotgrade
