// Entry point of peridot-gateway.
#include "peridotgrade/gateway/gateway_node.h"
#include "peridotgrade/ops/random_seed.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

using namespace peridotgrade;

namespace {

// Environment variable that names the settings file if the command line does not.
constexpr const char* SettingsVariable = "PERIDOTGRADE_CONFIG";

/// By default the allocator keeps freed memory of large bodies for later ones, which counts toward the limit
/// of the process. With these two, in bytes, it returns blocks of a body's size to the system at once.
void boundUnusedMemory()
{
    constexpr int MappedBlockSize = 128 * 1024;
    constexpr int KeptAtTheEnd = 512 * 1024;
    mallopt(M_MMAP_THRESHOLD, MappedBlockSize);
    mallopt(M_TRIM_THRESHOLD, KeptAtTheEnd);
}

int serve(GatewaySettings settings, const std::string& file)
{
    if (settings.memoryMb)
        boundUnusedMemory();
    GatewayNode node(std::move(settings), file, drawSeed());
    if (auto problem = node.start()) {
        std::cerr << "peridot-gateway: cannot listen on " << *problem
                  << "; free the address or change it in the settings\n";
        return exit_status::AddressInUse;
    }
    int status = node.run() ? exit_status::Success : exit_status::Failure;
    // The logging library joins its threads as it is destroyed, and connections of callers would stay open
    // until then. No log line is buffered.
    std::quick_exit(status);
}

} // namespace

int main(int argc, char** argv)
{
    // Until the node handles SIGHUP, it would end the process; the settings are read afterwards anyway.
    std::signal(SIGHUP, SIG_IGN);
    CLI::App app { "Serves callers on the platform's machines: routes their requests to backend servers." };
    app.set_version_flag("--version", PERIDOT_VERSION);
    std::string file;
    bool isCheck = false;
    app.add_option("--settings", file, "JSON file with the settings of this gateway")
        ->envname(SettingsVariable);
    app.add_flag("--check-settings", isCheck, "check the settings file and exit");
    CLI11_PARSE(app, argc, argv);
    if (file.empty()) {
        std::cerr << "peridot-gateway: give --settings FILE or set " << SettingsVariable << "; see --help\n";
        return exit_status::BadSettings;
    }
    auto settings = readGatewaySettings(file);
    if (auto* error = std::get_if<SettingsError>(&settings)) {
        std::cerr << "peridot-gateway: " << error->message() << "\n";
        return exit_status::BadSettings;
    }
    if (isCheck) {
        std::cout << file << ": settings are good\n";
        return exit_status::Success;
    }
    return serve(std::get<GatewaySettings>(std::move(settings)), file);
}
