// A router with agents that answer at once, for measuring its memory, messages and CPU time.
#pragma once

#include "peridotgrade/core/policy/two_choice_policy.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/core/routing/model_router.h"

#include <cstdint>
#include <memory>

namespace peridotgrade::bench {

/// Messages exchanged with agents, with their encoded sizes.
struct Traffic {
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t renewals = 0;
    std::uint64_t renewalBytes = 0;
};

/// A router whose agents grant every reservation and finish every prefill at once. Requests can be left open
/// after any number of tokens, so that the state of open requests can be measured.
class RouterBench {
public:
    explicit RouterBench(std::uint32_t engines);
    ~RouterBench();

    /// Submits a request and runs it up to its first token.
    void openRequest(std::uint32_t promptBytes);
    /// Sends `tokens` more tokens to the oldest open request and finishes it.
    void finishOldest(std::uint32_t tokens);
    /// Advances the virtual clock, including lease renewals.
    void advance(Duration length);

    const Traffic& traffic() const;
    std::size_t openRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade::bench
