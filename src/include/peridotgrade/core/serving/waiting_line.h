// Requests that wait for memory at an engine, in the order in which they should get it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <map>
#include <set>
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
class WaitingLine {
public:
    void add(const WaitingRequest& request);
    void remove(RequestId id);
    /// Takes out what is past its due time.
    std::vector<RequestId> takeOverdue(TimePoint now);
    /// In serving order.
    std::vector<WaitingRequest> inOrder() const;
    std::size_t size() const { return this->requests.size(); }
    /// Tokens of those that would be served before such a request.
    std::uint64_t tokensBefore(const WaitingRequest& request) const;

private:
    struct Key {
        TimePoint due;
        RequestId id;
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const Key&, const Key&) = default;
    };
    static Key keyOf(const WaitingRequest& request);

    std::map<RequestId, WaitingRequest> requests;
    /// Invariant: one key for each of `requests`.
    std::set<Key> order;
};

} // namespace peridotgrade
