// An agent process.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/net_error.h"
#include "peridotgrade/ops/settings/agent_settings.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <variant>

namespace peridotgrade {

/// The endpoints on which a running agent listens.
struct AgentEndpoints {
    Endpoint peers;
    Endpoint admin;
};

/// Runs beside one backend server. Owns the connections of entries, the backend with its host state machine,
/// the configuration follower, the VM list watcher and the operator pages. Thread safe.
class Agent {
public:
    /// `seed` is the incarnation and seeds all random choices; it must differ between runs.
    Agent(boost::asio::any_io_executor executor, AgentSettings settings, std::uint64_t seed);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    std::variant<AgentEndpoints, NetError> start();

    /// Stops accepting new work; running work is completed. Idempotent.
    void drain();
    bool isDrained() const;
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
