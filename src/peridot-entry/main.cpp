// Entry point of peridot-entry.
#include "peridotgrade/entry/entry_node.h"
#include "peridotgrade/ops/random_seed.h"
#include "peridotgrade/ops/settings/entry_settings.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace peridotgrade;

namespace {

int serve(EntrySettings settings)
{
    EntryNode node(std::move(settings), drawSeed());
    auto addresses = node.start();
    if (auto* error = std::get_if<NetError>(&addresses)) {
        std::cerr << "peridot-entry: cannot listen on " << error->detail
                  << "; free the address or change it in the settings\n";
        return exit_status::AddressInUse;
    }
    const auto& listening = std::get<EntryAddresses>(addresses);
    std::cout << "ready listen=" << toString(listening.callers) << " admin=" << toString(listening.admin)
              << " peers=" << toString(listening.peers) << std::endl;
    return node.run() ? exit_status::Success : exit_status::Failure;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Serves callers and routes their requests to backend servers." };
    app.set_version_flag("--version", PERIDOT_VERSION);
    std::string settingsFile;
    std::string fileToCheck;
    auto* settingsOption
        = app.add_option("--settings", settingsFile, "JSON file with the settings of this entry");
    auto* checkOption = app.add_option("--check-settings", fileToCheck, "check a settings file and exit");
    checkOption->excludes(settingsOption);
    CLI11_PARSE(app, argc, argv);
    bool isCheck = !fileToCheck.empty();
    if (!isCheck && settingsFile.empty()) {
        std::cerr << "peridot-entry: give --settings FILE; see --help\n";
        return exit_status::BadSettings;
    }
    auto settings = readEntrySettings(isCheck ? fileToCheck : settingsFile);
    if (auto* error = std::get_if<SettingsError>(&settings)) {
        std::cerr << "peridot-entry: " << error->message() << "\n";
        return exit_status::BadSettings;
    }
    if (isCheck) {
        std::cout << fileToCheck << ": settings are good\n";
        return exit_status::Success;
    }
    return serve(std::get<EntrySettings>(std::move(settings)));
}
