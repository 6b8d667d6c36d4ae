// Entry point of peridot-agent.
#include "drain.h"

#include "peridotgrade/agent/agent.h"
#include "peridotgrade/ops/random_seed.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>

#include <iostream>
#include <thread>
#include <vector>

using namespace peridotgrade;

namespace {

struct Options {
    std::string settingsFile;
    std::string checkedFile;
};

void runThreads(boost::asio::io_context& context, std::uint32_t count)
{
    std::vector<std::thread> threads;
    for (std::uint32_t i = 1; i < count; ++i)
        threads.emplace_back([&context] { context.run(); });
    context.run();
    for (std::thread& thread : threads)
        thread.join();
}

int serve(AgentSettings settings, std::uint64_t seed)
{
    std::uint32_t threads = settings.node.threads;
    auto drainTimeout = settings.drainTimeout;
    boost::asio::io_context context(static_cast<int>(threads));
    Agent agent(context.get_executor(), std::move(settings), seed);
    auto started = agent.start();
    if (const auto* error = std::get_if<NetError>(&started)) {
        std::cerr << "peridot-agent: cannot listen on " << error->detail
                  << "; free the address or change peerListen or adminListen in the settings\n";
        return exit_status::AddressInUse;
    }
    drainOnSignal(context, agent, drainTimeout);
    const auto& endpoints = std::get<AgentEndpoints>(started);
    std::cout << "ready peers=" << toString(endpoints.peers) << " admin=" << toString(endpoints.admin)
              << std::endl;
    runThreads(context, threads);
    return exit_status::Success;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Runs beside a backend server and connects it to the entries." };
    Options options;
    app.set_version_flag("--version", PERIDOT_VERSION);
    auto* settingsFlag
        = app.add_option("--settings", options.settingsFile, "JSON file with the settings of this agent");
    auto* checkFlag
        = app.add_option("--check-settings", options.checkedFile, "check a settings file and exit");
    CLI11_PARSE(app, argc, argv);
    if (!*settingsFlag && !*checkFlag) {
        std::cerr << "peridot-agent: give --settings FILE; see --help\n";
        return exit_status::BadSettings;
    }

    auto settings = readAgentSettings(*checkFlag ? options.checkedFile : options.settingsFile);
    if (const auto* error = std::get_if<SettingsError>(&settings)) {
        std::cerr << "peridot-agent: " << error->message() << "\n";
        return exit_status::BadSettings;
    }
    if (*checkFlag)
        return exit_status::Success;
    // The seed cannot be set from outside because it is the incarnation: two runs with the same one would be
    // taken for a single run that still has its table of actions.
    return serve(std::get<AgentSettings>(std::move(settings)), drawSeed());
}
