// What the stand-in programs share: flags, the two ports, the ready line, the end.
#pragma once

#include "control_port.h"

#include "peridotgrade/net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

// The name is the library's.
// NOLINTNEXTLINE(readability-identifier-naming)
namespace CLI {
class App;
}

namespace peridotgrade::standins {

/// Flags that each stand-in has.
struct ProgramOptions {
    std::string listen = "127.0.0.1:0";
    std::string control = "127.0.0.1:0";
    std::uint64_t seed = 1;
};

void addProgramOptions(CLI::App& app, ProgramOptions& options);

/// Serves both ports on this thread until SIGTERM or SIGINT, after printing
/// `ready listen=ip:port control=ip:port`. Gives the exit status.
int serveProgram(boost::asio::io_context& context, const ProgramOptions& options, HttpHandler handler,
    ControlPort& control);

} // namespace peridotgrade::standins
