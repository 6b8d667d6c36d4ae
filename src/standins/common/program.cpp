// Command line, HTTP servers and signal handling common to the fake servers.
#include "program.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <optional>

namespace peridotgrade::standins {

namespace {

    constexpr int ExitCannotListen = 3;
    constexpr int ExitBadFlag = 2;

    std::optional<HttpServerSettings> serverSettings(const std::string& listen)
    {
        auto endpoint = parseEndpoint(listen);
        if (!endpoint)
            return std::nullopt;
        HttpServerSettings settings;
        settings.listen = *endpoint;
        settings.maxBodyBytes = 64 * 1024 * 1024;
        return settings;
    }

} // namespace

void addProgramOptions(CLI::App& app, ProgramOptions& options)
{
    app.add_option(
        "--listen", options.listen, "ip:port to serve on; with port 0 the kernel chooses a free port");
    app.add_option("--control", options.control, "ip:port of the control port");
    app.add_option("--seed", options.seed, "seed of randomly injected faults");
}

int serveProgram(boost::asio::io_context& context, const ProgramOptions& options, HttpHandler handler,
    ControlPort& control)
{
    auto mainSettings = serverSettings(options.listen);
    auto controlSettings = serverSettings(options.control);
    if (!mainSettings || !controlSettings) {
        std::cerr << "--listen and --control must have the form ip:port\n";
        return ExitBadFlag;
    }
    HttpServer server(context.get_executor(), *mainSettings, std::move(handler));
    HttpServer controlServer(context.get_executor(), *controlSettings,
        [&control](HttpExchange& exchange) { return control.serve(exchange); });
    auto listen = server.start();
    auto controlListen = controlServer.start();
    for (const auto* started : { &listen, &controlListen }) {
        if (const auto* error = std::get_if<NetError>(started)) {
            std::cerr << error->detail << "\n";
            return ExitCannotListen;
        }
    }
    std::cout << "ready listen=" << toString(std::get<Endpoint>(listen))
              << " control=" << toString(std::get<Endpoint>(controlListen)) << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace peridotgrade::standins
