// A router with agents that answer at once, for slopes of its state and work.
#pragma once

#include "peridotgrade/core/policy/two_choice_policy.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/core/routing/model_router.h"

#include <cstdint>
#include <memory>

namespace peridotgrade::bench {

/// What the requests of a run sent to agents and got from them.
struct Traffic {
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t renewals = 0;
    std::uint64_t renewalBytes = 0;
};

/// One router whose agents grant every place and finish every prefill at once. Requests can be left open
/// after any number of tokens, so that state is measured in the middle.
class RouterBench {
public:
    explicit RouterBench(std::uint32_t engines);
    ~RouterBench();

    /// Submits a request and lets it get as far as its first token.
    void openRequest(std::uint32_t promptBytes);
    /// Sends `tokens` more tokens to the oldest open request and finishes it.
    void finishOldest(std::uint32_t tokens);
    /// Lets time pass, lease renewals included.
    void advance(Duration length);

    const Traffic& traffic() const;
    std::size_t openRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade::bench
