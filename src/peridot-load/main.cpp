// Entry point of peridot-load, which sends completions and measures goodput and latency.
#include "load_run.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace peridotgrade;
using namespace peridotgrade::load;

namespace {

std::string checkEndpoint(const std::string& text)
{
    return parseEndpoint(text) ? "" : "expected an endpoint such as 127.0.0.1:8080, got: " + text;
}

void addEndpoint(CLI::App& app, const std::string& name, Endpoint& target, const std::string& help)
{
    auto assign = [&target](const std::string& text) { target = parseEndpoint(text).value_or(Endpoint {}); };
    app.add_option_function<std::string>(name, assign, help)->check(checkEndpoint);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app {
        "Sends completions to an entry and measures goodput, latency, refusals and wrong answers."
    };
    app.set_version_flag("--version", PERIDOT_VERSION);
    app.require_subcommand(1);
    LoadTarget target;
    LoadShape shape;
    LatencyObjectives objectives;
    addEndpoint(app, "--entry", target.entry, "the entry's address for callers");
    addEndpoint(
        app, "--admin", target.admin, "the entry's admin address, from which its processor time is read");
    app.add_option("--key", target.key, "API key of a workspace")->required();
    app.add_option("--model", target.model, "model to request")->required();
    app.add_option("--prompt-tokens", shape.promptTokens, "median prompt size in tokens");
    app.add_option("--output-tokens", shape.outputTokens, "median output size in tokens");
    app.add_option("--size-spread", shape.sizeSpread,
        "standard deviation of the logarithm of the sizes; 0 makes all sizes equal");
    app.add_option("--seed", shape.seed, "seed of the arrival times and sizes");

    OpenLoop open;
    std::uint32_t openSeconds = 10;
    std::uint32_t openWarmUp = 0;
    auto* openCommand = app.add_subcommand("open", "open loop: requests arrive at a fixed mean rate");
    openCommand->add_option("--rate", open.requestsPerSecond, "mean requests per second");
    openCommand->add_option("--warm-up", openWarmUp, "seconds of load before the entry's cost is measured");
    openCommand->add_option("--seconds", openSeconds, "seconds of load after the warm-up");

    ClosedLoop closed;
    std::uint32_t closedSeconds = 10;
    auto* closedCommand = app.add_subcommand("closed", "closed loop: a fixed number of streams is kept open");
    closedCommand->add_option("--streams", closed.streams, "number of open streams");
    closedCommand->add_option("--seconds", closedSeconds, "seconds for which the entry's cost is measured");

    Comparison comparison;
    auto* compareCommand = app.add_subcommand(
        "compare", "compare first-token latency through the entry and directly at a mixed engine");
    addEndpoint(*compareCommand, "--engine", comparison.engine, "the engine's address");
    compareCommand->add_option("--pairs", comparison.pairs, "number of request pairs");

    CLI11_PARSE(app, argc, argv);
    open.length = std::chrono::seconds { openSeconds };
    open.warmUp = std::chrono::seconds { openWarmUp };
    closed.length = std::chrono::seconds { closedSeconds };
    if (openCommand->parsed())
        return runOpenLoop(target, shape, objectives, open);
    if (closedCommand->parsed())
        return runClosedLoop(target, shape, objectives, closed);
    return runComparison(target, shape, comparison);
}
