// Fake model engine for tests.
#include "answer.h"
#include "engine.h"
#include "engine_http.h"

#include "../common/program.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <random>

using namespace peridotgrade;
using namespace peridotgrade::standins;

namespace {

struct AnswerQuery {
    std::string prompt;
    std::uint32_t maxTokens = 16;
};

void addSizes(CLI::App& app, EngineSettings& settings)
{
    app.add_option("--role", settings.role, "prefill, decode or mixed")
        ->check(CLI::IsMember({ "prefill", "decode", "mixed" }));
    app.add_option("--model", settings.models, "model that is loaded at startup; can be repeated");
    app.add_option("--model-version", settings.version, "version of the models loaded at startup");
    app.add_flag("--checks-fence", settings.checksFence, "refuse commands with a stale fencing token");
    app.add_option("--places", settings.places, "maximum number of concurrent decode streams");
    app.add_option("--kv-tokens", settings.kvTokens, "KV cache memory in tokens");
    app.add_option("--kv-tokens-per-piece", settings.kvTokensPerPiece, "tokens per KV cache block");
    app.add_option(
        "--kv-bytes-per-token", settings.kvBytesPerToken, "size of one token of an exported KV cache");
    app.add_option("--cache-tokens", settings.cacheTokens, "prefix cache memory in tokens");
}

void addRates(CLI::App& app, EngineSettings& settings)
{
    app.add_option("--step-us", settings.stepUs, "base duration of a decode step");
    app.add_option("--step-per-stream-us", settings.stepPerStreamUs,
        "additional duration of a decode step for each stream");
    app.add_option("--prefill-tokens-per-second", settings.prefillTokensPerSecond, "prefill throughput");
    app.add_option("--prefill-base-us", settings.prefillBaseUs, "minimum duration of a prefill");
    app.add_option(
        "--kept-for-ms", settings.keptForMs, "time for which a prefill result is retained for export");
    app.add_option("--link-bytes-per-second", settings.linkBytesPerSecond, "bandwidth of KV cache exports");
    app.add_option("--load-lag-ms", settings.loadLagMs, "age of the load report");
    app.add_option(
        "--cache-event-delay-ms", settings.cacheEventDelayMs, "delay until a cache event is published");
    app.add_option("--cache-event-loss", settings.cacheEventLoss, "fraction of cache events that are lost");
    app.footer("Switches of POST /control: the rates above with underscores, stall_transfers, fail_cancels, "
               "lose_cancel_answers, fail_loads, checks_fence, restart");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Fake model engine for tests" };
    ProgramOptions program;
    EngineSettings settings;
    AnswerQuery query;
    addProgramOptions(app, program);
    addSizes(app, settings);
    addRates(app, settings);
    auto* answer = app.add_subcommand("answer", "print the answer to a prompt and exit");
    answer->add_option("prompt", query.prompt)->required();
    answer->add_option("--max-tokens", query.maxTokens);
    CLI11_PARSE(app, argc, argv);
    if (answer->parsed()) {
        std::cout << completeAnswer(query.prompt, query.maxTokens);
        return 0;
    }

    boost::asio::io_context context(1);
    Engine engine(context.get_executor(), std::move(settings), program.seed, std::random_device {}());
    EngineHttp http(engine);
    engine.start();
    ControlPort control;
    engine.addSwitches(control);
    control.setSnapshot([&engine] { return engine.counts(); });
    return serveProgram(
        context, program, [&http](HttpExchange& exchange) { return http.serve(exchange); }, control);
}
