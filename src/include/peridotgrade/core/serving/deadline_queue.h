// Requests that wait for memory at an engine, in the order in which they should get it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotgrade {

/// One waiting request.
struct WaitingRequest {
    RequestId id;
    /// After this it can no longer be served usefully and is rejected.
    TimePoint due;
    std::uint32_t tokens = 0;
};

/// Earliest due first. A fresh request is due when its first event would be late; one whose caller has come
/// back is due when the caller would give up, so it uses what fresh ones leave and goes first at the end.
/// Under overload of a few seconds that keeps answers in time and still serves those who came back.
class DeadlineQueue {
public:
    void add(const WaitingRequest& request);
    void remove(RequestId id);
    bool contains(RequestId id) const { return this->dueTimes.contains(id); }
    /// Takes out what is past its due time.
    std::vector<RequestId> takeOverdue(TimePoint now);
    std::optional<TimePoint> firstDue() const;
    std::size_t size() const { return this->order.size(); }
    /// Tokens of those that would be served before such a request.
    std::uint64_t tokensAhead(const WaitingRequest& request) const;

    /// Calls `visitor` in serving order until it gives false. It must not change the line.
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
    /// Invariant: one for each request in `order`.
    std::unordered_map<RequestId, TimePoint> dueTimes;
};

} // namespace peridotgrade
