// Waits of connections that their server can end.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace peridotgrade {

/// The connections of a server that wait for the same thing, such as the first byte of a request. Thread
/// safe.
class SessionWaits {
public:
    /// A member for as long as it lives.
    class Member {
    public:
        /// `end` is called at most once, from any thread, and must not block.
        Member(SessionWaits& waits, std::function<void()> end);
        ~Member();
        Member(const Member&) = delete;
        Member& operator=(const Member&) = delete;

    private:
        SessionWaits& waits;
        const std::uint64_t key;
    };

    /// Ends those that wait now.
    void endAll();
    std::size_t count() const;

private:
    mutable std::mutex mutex;
    std::uint64_t lastKey = 0;
    /// Functions that end the waits; empty after they were called. Guarded by `mutex`.
    std::unordered_map<std::uint64_t, std::function<void()>> members;
};

} // namespace peridotgrade
