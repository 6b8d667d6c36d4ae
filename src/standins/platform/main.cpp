// Fake platform for tests: log service, VM list and weight store in one process.
#include "log_service.h"
#include "vm_list.h"
#include "weight_store.h"

#include "../common/json_body.h"
#include "../common/program.h"

#include <CLI/CLI.hpp>

#include <boost/json/serialize.hpp>

using namespace peridotgrade;
using namespace peridotgrade::standins;
namespace asio = boost::asio;

namespace {

struct PlatformOptions {
    LogSettings log;
    std::uint64_t vmLagMs = 200;
    std::uint64_t weightBytes = 1024 * 1024;
    std::uint64_t weightBytesPerSecond = 8 * 1024 * 1024;
};

struct Platform {
    LogService log;
    VmList vms;
    WeightStore weights;
};

/// Returns STREAM of `/log/STREAM/records`; empty for any other path.
std::string streamOf(std::string_view path)
{
    constexpr std::string_view Prefix = "/log/";
    constexpr std::string_view Suffix = "/records";
    bool isLog = path.size() > Prefix.size() + Suffix.size() && path.substr(0, Prefix.size()) == Prefix
        && path.substr(path.size() - Suffix.size()) == Suffix;
    if (!isLog)
        return {};
    return std::string { path.substr(Prefix.size(), path.size() - Prefix.size() - Suffix.size()) };
}

asio::awaitable<void> serve(Platform& platform, HttpExchange& exchange)
{
    std::string path { exchange.request().path() };
    std::string stream = streamOf(path);
    if (!stream.empty()) {
        co_await platform.log.serve(exchange, std::move(stream));
        co_return;
    }
    if (path.rfind("/weights/", 0) == 0) {
        co_await platform.weights.serve(exchange);
        co_return;
    }
    HttpResponse response = errorResponse(404, "not_found", path);
    if (path == "/vms")
        response = platform.vms.answer(exchange.request());
    co_await exchange.respond(std::move(response));
}

void addOptions(CLI::App& app, PlatformOptions& options)
{
    app.add_option("--appends-per-second", options.log.appendsPerSecond, "maximum rate of appends");
    app.add_option("--retention-ms", options.log.retentionMs, "retention period of log records");
    app.add_option("--vm-lag-ms", options.vmLagMs, "delay until a change of the VM list is visible");
    app.add_option("--weight-bytes", options.weightBytes, "size of the weights of one model version");
    app.add_option(
        "--weight-bytes-per-second", options.weightBytesPerSecond, "bandwidth of the weight store");
    app.footer("Switches of POST /control: appends_per_second, retention_ms, slow_ms, log_down, "
               "log_unreachable, lose_answers, lost_answer_share, vms, add_vm, remove_vm, leave_vm, "
               "vm_lag_ms, weight_bytes, weight_bytes_per_second, weights_down");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Fake platform for tests: log service, VM list, weight store" };
    ProgramOptions program;
    PlatformOptions options;
    addProgramOptions(app, program);
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);

    asio::io_context context(1);
    Platform platform { { program.seed, options.log }, VmList { options.vmLagMs },
        { options.weightBytes, options.weightBytesPerSecond } };
    ControlPort control;
    platform.log.addSwitches(control);
    platform.vms.addSwitches(control);
    platform.weights.addSwitches(control);
    control.setSnapshot([&platform] {
        boost::json::object state;
        platform.log.addCounts(state);
        state["vms"] = platform.vms.visible();
        return state;
    });
    return serveProgram(
        context, program, [&platform](HttpExchange& exchange) { return serve(platform, exchange); }, control);
}
