// Requests that wait for memory at an engine, in the order in which they should get it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/waiting_request.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotgrade {

/// Orders requests by priority, within a priority those that go first, then those that may be on time and
/// then those that are late, each by due time. A first attempt is due when its first event would be late; a
/// late retry is due when its caller would give up, and takes the capacity that first attempts leave.
class DeadlineQueue {
public:
    void add(const WaitingRequest& request);
    void remove(RequestId id);
    bool contains(RequestId id) const { return this->keys.contains(id); }
    /// Null if it does not wait.
    const WaitingRequest* find(RequestId id) const;
    /// Removes and returns the requests that are past their due time, earliest first.
    std::vector<WaitingRequest> takeOverdue(TimePoint now);
    /// Removes and returns the requests whose answer would be late, while others that are at least as urgent
    /// wait and would be on time.
    std::vector<WaitingRequest> takeLate(TimePoint now);
    /// When the next request is past its due time, or is late while several wait.
    std::optional<TimePoint> firstDue(TimePoint now) const;
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
        RequestPriority priority;
        /// 0 for requests that go first, 2 for late ones.
        std::uint8_t turn = 0;
        TimePoint due;
        RequestId id;
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const Key&, const Key&) = default;
    };

    static Key keyOf(const WaitingRequest& request);

    std::map<Key, WaitingRequest> order;
    /// Invariant: one entry for each request in `order`.
    std::unordered_map<RequestId, Key> keys;
};

} // namespace peridotgrade
