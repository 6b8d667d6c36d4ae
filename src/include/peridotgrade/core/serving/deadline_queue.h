// Requests that wait for memory at an engine, in the order in which they should get it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotgrade {

struct WaitingRequest {
    RequestId id;
    /// After this time the request can no longer be served usefully and is rejected.
    TimePoint due;
    std::uint32_t tokens = 0;
    /// The only software version that may serve the request; nothing if any may.
    std::optional<SoftwareVersion> version;
};

/// Orders requests by due time, earliest first. A first attempt is due when its first event would be late; a
/// retry is due when its caller would give up, so it takes the capacity that first attempts leave and moves
/// to the front near its due time. Under an overload of a few seconds this keeps answers on time and still
/// serves the retries.
class DeadlineQueue {
public:
    void add(const WaitingRequest& request);
    void remove(RequestId id);
    bool contains(RequestId id) const { return this->dueTimes.contains(id); }
    /// Removes and returns the requests that are past their due time.
    std::vector<RequestId> takeOverdue(TimePoint now);
    std::optional<TimePoint> firstDue() const;
    std::size_t size() const { return this->order.size(); }
    /// Tokens of the requests that would be served before `request`.
    std::uint64_t tokensAhead(const WaitingRequest& request) const;

    /// Calls `visitor` in serving order until it returns false. The visitor must not change the queue.
    template <typename Visitor> void visit(Visitor visitor) const
    {
        for (const auto& [key, request] : this->order) {
            if (!visitor(request))
                return;
        }
    }

private:
    struct Key {
        TimePoint due;
        RequestId id;
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const Key&, const Key&) = default;
    };

    std::map<Key, WaitingRequest> order;
    /// Invariant: one entry for each request in `order`.
    std::unordered_map<RequestId, TimePoint> dueTimes;
};

} // namespace peridotgrade
