// Parts common to the fake servers: flags, the two ports, the ready line and shutdown.
#pragma once

#include "control_port.h"

#include "peridotgrade/net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

// The library defines this name.
// NOLINTNEXTLINE(readability-identifier-naming)
namespace CLI {
class App;
}

namespace peridotgrade::standins {

/// Command-line flags of every fake server.
struct ProgramOptions {
    std::string listen = "127.0.0.1:0";
    std::string control = "127.0.0.1:0";
    std::uint64_t seed = 1;
};

void addProgramOptions(CLI::App& app, ProgramOptions& options);

/// Prints `ready listen=ip:port control=ip:port`, then serves both ports on this thread until SIGTERM or
/// SIGINT. Returns the exit status.
int serveProgram(boost::asio::io_context& context, const ProgramOptions& options, HttpHandler handler,
    ControlPort& control);

} // namespace peridotgrade::standins
