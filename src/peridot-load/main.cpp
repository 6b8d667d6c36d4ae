// Entry point of peridot-load: sends completions and measures what comes back.
#include "load_run.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace peridotgrade;
using namespace peridotgrade::load;

namespace {

std::string checkEndpoint(const std::string& text)
{
    return parseEndpoint(text) ? "" : "not an address like 127.0.0.1:8080: " + text;
}

void addEndpoint(CLI::App& app, const std::string& name, Endpoint& target, const std::string& help)
{
    auto take = [&target](const std::string& text) { target = parseEndpoint(text).value_or(Endpoint {}); };
    app.add_option_function<std::string>(name, take, help)->check(checkEndpoint);
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
    LoadTargets targets;
    addEndpoint(app, "--entry", target.entry, "the entry's address for callers");
    addEndpoint(app, "--admin", target.admin, "the entry's admin address, to read its processor time");
    app.add_option("--key", target.key, "key of a workspace")->required();
    app.add_option("--model", target.model, "model to ask")->required();
    app.add_option("--prompt-tokens", shape.promptTokens, "median size of prompts");
    app.add_option("--output-tokens", shape.outputTokens, "median size of answers");
    app.add_option("--size-spread", shape.sizeSpread, "spread of sizes; 0 makes all equal");
    app.add_option("--seed", shape.seed, "seed of arrivals and sizes");

    OpenLoop open;
    std::uint32_t openSeconds = 10;
    std::uint32_t openWarmUp = 0;
    auto* openCommand = app.add_subcommand("open", "requests arrive at a rate, answered or not");
    openCommand->add_option("--rate", open.requestsPerSecond, "requests a second");
    openCommand->add_option("--warm-up", openWarmUp, "seconds of arrivals before the cost is measured");
    openCommand->add_option("--seconds", openSeconds, "how long requests arrive");

    ClosedLoop closed;
    std::uint32_t closedSeconds = 10;
    auto* closedCommand = app.add_subcommand("closed", "so many streams are open at any time");
    closedCommand->add_option("--streams", closed.streams, "open streams");
    closedCommand->add_option("--seconds", closedSeconds, "how long the cost is measured");

    Comparison comparison;
    auto* compareCommand
        = app.add_subcommand("compare", "first token through the entry and at a mixed engine");
    addEndpoint(*compareCommand, "--engine", comparison.engine, "the engine's own address");
    compareCommand->add_option("--pairs", comparison.pairs, "pairs of requests");

    CLI11_PARSE(app, argc, argv);
    open.length = std::chrono::seconds { openSeconds };
    open.warmUp = std::chrono::seconds { openWarmUp };
    closed.length = std::chrono::seconds { closedSeconds };
    if (openCommand->parsed())
        return runOpenLoop(target, shape, targets, open);
    if (closedCommand->parsed())
        return runClosedLoop(target, shape, targets, closed);
    return runComparison(target, shape, comparison);
}
