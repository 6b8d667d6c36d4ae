// Stand-in of a model engine.
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
    app.add_option("--model", settings.models, "a model that is loaded at the start; may be repeated");
    app.add_option("--model-version", settings.version, "version of these models");
    app.add_flag("--checks-fence", settings.checksFence, "refuses orders with an old fencing number");
    app.add_option("--places", settings.places, "streams that may run at once");
    app.add_option("--kv-tokens", settings.kvTokens, "memory for KV cache, in tokens");
    app.add_option("--kv-tokens-per-piece", settings.kvTokensPerPiece, "tokens of one piece of memory");
    app.add_option("--kv-bytes-per-token", settings.kvBytesPerToken, "size of an exported token");
    app.add_option("--cache-tokens", settings.cacheTokens, "memory for cached prefixes");
}

void addRates(CLI::App& app, EngineSettings& settings)
{
    app.add_option("--step-us", settings.stepUs, "time of one decoding step");
    app.add_option("--step-per-stream-us", settings.stepPerStreamUs, "what each stream adds to a step");
    app.add_option("--prefill-tokens-per-second", settings.prefillTokensPerSecond, "speed of prefill");
    app.add_option("--prefill-base-us", settings.prefillBaseUs, "least time of a prefill");
    app.add_option("--kept-for-ms", settings.keptForMs, "how long a prefill's result is kept");
    app.add_option("--link-bytes-per-second", settings.linkBytesPerSecond, "rate of KV export");
    app.add_option("--load-lag-ms", settings.loadLagMs, "how far the load report lags behind");
    app.add_option("--cache-event-delay-ms", settings.cacheEventDelayMs, "delay of cache events");
    app.add_option("--cache-event-loss", settings.cacheEventLoss, "share of cache events lost");
    app.footer("Switches of POST /control: the rates above with underscores, stall_transfers, fail_cancels, "
               "lose_cancel_answers, fail_loads, checks_fence, restart");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in of a model engine" };
    ProgramOptions program;
    EngineSettings settings;
    AnswerQuery query;
    addProgramOptions(app, program);
    addSizes(app, settings);
    addRates(app, settings);
    auto* answer = app.add_subcommand("answer", "prints the answer to a prompt and ends");
    answer->add_option("prompt", query.prompt)->required();
    answer->add_option("--max-tokens", query.maxTokens);
    CLI11_PARSE(app, argc, argv);
    if (answer->parsed()) {
        std::cout << wholeAnswer(query.prompt, query.maxTokens);
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
