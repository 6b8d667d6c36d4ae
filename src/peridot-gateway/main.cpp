// Entry point of peridot-gateway.
#include "peridotgrade/gateway/gateway_node.h"
#include "peridotgrade/ops/random_seed.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

using namespace peridotgrade;

namespace {

// Environment variable that names the settings file if the command line does not.
constexpr const char* SettingsVariable = "PERIDOTGRADE_CONFIG";

int serve(GatewaySettings settings, const std::string& file)
{
    GatewayNode node(std::move(settings), file, drawSeed());
    if (auto problem = node.start()) {
        std::cerr << "peridot-gateway: cannot listen on " << *problem
                  << "; free the address or change it in the settings\n";
        return exit_status::AddressInUse;
    }
    return node.run() ? exit_status::Success : exit_status::Failure;
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
