// A whole agent: everything that one agent process runs.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/net_error.h"
#include "peridotgrade/ops/settings/agent_settings.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <variant>

namespace peridotgrade {

/// Where a started agent listens.
struct AgentEndpoints {
    Endpoint peers;
    Endpoint admin;
};

/// The agent beside one backend server: connections of entries, the host of its backend server, the
/// configuration, the watch on the VM list, and the operators' pages. Thread safe.
class Agent {
public:
    /// `seed` makes the incarnation and all random choices; it must differ from run to run.
    Agent(boost::asio::any_io_executor executor, AgentSettings settings, std::uint64_t seed);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    std::variant<AgentEndpoints, NetError> start();

    /// Takes no new work from now on; what runs is finished. Idempotent.
    void drain();
    bool isDrained() const;
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
