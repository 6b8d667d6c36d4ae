// The end of an agent process: drain at a signal, then stop.
#pragma once

#include "peridotgrade/agent/agent.h"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace peridotgrade {

/// At SIGTERM or SIGINT drains the agent, waits until what runs is finished, but no longer than `timeout`,
/// and stops the context.
void drainOnSignal(boost::asio::io_context& context, Agent& agent, std::chrono::milliseconds timeout);

} // namespace peridotgrade
