// Graceful shutdown of an agent process.
#pragma once

#include "peridotgrade/agent/agent.h"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace peridotgrade {

/// On SIGTERM or SIGINT drains the agent, waits at most `timeout` until running work is completed, and stops
/// the context.
void drainOnSignal(boost::asio::io_context& context, Agent& agent, std::chrono::milliseconds timeout);

} // namespace peridotgrade
