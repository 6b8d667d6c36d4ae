// peridotctl, the command line tool for operators: options and subcommands.
#include "commands.h"

#include "peridotgrade/core/base/key_hash.h"
#include "peridotgrade/ops/settings/schema_check.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>

namespace {

using namespace peridotgrade;
using namespace peridotgrade::ctl;

constexpr const char* ExitStatusHelp
    = "Exit statuses: 0 done, 1 failed or warnings, 2 invalid settings, intents or configuration, 4 "
      "unreachable, 5 plan void, "
      "6 not confirmed, 7 undecided, 8 not in force everywhere, 9 unauthorized.\n"
      "The operator's key is read from --key-file or PERIDOT_OPERATOR_KEY.";

struct CommonOptions {
    std::string siteFile;
    std::vector<std::string> entries;
    std::string keyFile;
    std::uint64_t timeoutMs = 15'000;
    bool isJson = false;
};

std::optional<Site> siteOf(const CommonOptions& options)
{
    Site site;
    if (!options.siteFile.empty()) {
        auto read = readSite(options.siteFile);
        if (auto* error = std::get_if<SettingsError>(&read)) {
            std::cerr << error->message() << "\n";
            return std::nullopt;
        }
        site = std::move(std::get<Site>(read));
    }
    for (const std::string& text : options.entries) {
        auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            std::cerr << "--entry " << text << ": not an address; give an IP address and a port\n";
            return std::nullopt;
        }
        site.entries.push_back(std::move(*endpoint));
    }
    if (site.entries.empty()) {
        std::cerr << "no entry is configured; give --site FILE or --entry ip:port\n";
        return std::nullopt;
    }
    return site;
}

std::optional<std::string> keyOf(const CommonOptions& options)
{
    if (options.keyFile.empty()) {
        const char* key = std::getenv("PERIDOT_OPERATOR_KEY");
        return key == nullptr ? std::string {} : std::string { key };
    }
    auto text = readFile(options.keyFile);
    if (auto* error = std::get_if<SettingsError>(&text)) {
        std::cerr << error->message() << "\n";
        return std::nullopt;
    }
    std::string key = std::get<std::string>(text);
    key.erase(key.find_last_not_of("\r\n") + 1);
    return key;
}

int withContext(const CommonOptions& options, const std::function<int(const CommandContext&)>& command)
{
    auto site = siteOf(options);
    if (!site)
        return BadInput;
    auto key = keyOf(options);
    if (!key)
        return BadInput;
    std::chrono::milliseconds timeout { static_cast<std::int64_t>(options.timeoutMs) };
    CommandContext context { std::move(*site), NodeClient(std::move(*key), timeout), options.isJson };
    return command(context);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "peridotctl: plans, confirms and watches the configuration of a site" };
    app.set_version_flag("--version", PERIDOT_VERSION);
    app.footer(ExitStatusHelp);
    app.require_subcommand(1);
    app.fallthrough();
    CommonOptions common;
    app.add_option("--site", common.siteFile, "file with the admin addresses of all processes");
    app.add_option("--entry", common.entries, "admin address of an entry, as ip:port");
    app.add_option("--key-file", common.keyFile, "file with the operator's key");
    app.add_option("--timeout-ms", common.timeoutMs, "time limit of one call, in milliseconds");
    app.add_flag("--json", common.isJson, "print JSON");
    int status = Done;

    std::string file;
    auto* intent = app.add_subcommand("intent", "make a plan for a file of intents; changes nothing");
    intent->add_option("FILE", file, "intents as JSON, - for standard input")->required();
    intent->callback([&] {
        status = withContext(common, [&](const auto& context) { return planIntents(context, file); });
    });

    std::string plan;
    std::string planFile;
    auto* show = app.add_subcommand("plan", "show a plan");
    show->add_option("ID", plan, "the plan's id")->required();
    show->callback(
        [&] { status = withContext(common, [&](const auto& context) { return showPlan(context, plan); }); });

    auto* confirm = app.add_subcommand("confirm", "confirm a plan");
    confirm->add_option("ID", plan, "the plan's id");
    confirm->add_option("--plan", planFile, "the plan as printed by intent --json, - for standard input");
    confirm->callback([&] {
        status
            = withContext(common, [&](const auto& context) { return confirmPlan(context, plan, planFile); });
    });

    StatusOptions statusOptions;
    std::uint64_t followTimeoutMs = 60'000;
    auto* statusCommand = app.add_subcommand("status", "show where the configuration is in force");
    statusCommand->add_flag("--follow", statusOptions.shouldFollow, "repeat until it is in force everywhere");
    statusCommand->add_option(
        "--follow-timeout-ms", followTimeoutMs, "time limit of --follow, in milliseconds");
    statusCommand->callback([&] {
        statusOptions.followTimeout
            = std::chrono::milliseconds { static_cast<std::int64_t>(followTimeoutMs) };
        status = withContext(common, [&](const auto& context) { return showStatus(context, statusOptions); });
    });

    auto* history = app.add_subcommand("history", "show the plans that took effect");
    history->callback(
        [&] { status = withContext(common, [&](const auto& context) { return showHistory(context); }); });

    TimelineOptions timelineOptions;
    auto* timeline = app.add_subcommand("timeline", "show the merged timeline of all processes");
    timeline->add_option("--request", timelineOptions.request, "only events of this request");
    auto* byPlan = timeline->add_option("--plan", timelineOptions.plan, "only events of this plan");
    timeline->add_option("--server", timelineOptions.server, "only events of or about this VM")
        ->excludes(byPlan);
    timeline->add_flag("--trace", timelineOptions.isTrace, "print trace-event JSON for trace viewers");
    timeline->callback([&] {
        status = withContext(
            common, [&](const auto& context) { return showTimeline(context, timelineOptions); });
    });

    auto* check = app.add_subcommand("check-settings", "check a settings file of an entry or an agent");
    check->add_option("FILE", file, "the settings file")->required();
    check->callback([&] { status = checkSettings(file, common.isJson); });

    std::string inForceFile;
    auto* configuration
        = app.add_subcommand("check-configuration", "check a gateway's configuration before it is in force");
    configuration->add_option("NEW", file, "the record with the configuration")->required();
    configuration->add_option("--in-force", inForceFile, "the record in force, to show the differences");
    configuration->callback([&] { status = checkConfigurationFile(file, inForceFile, common.isJson); });

    std::string key;
    auto* hash = app.add_subcommand("hash-key", "print the SHA-256 of a key from standard input");
    hash->callback([&] {
        std::getline(std::cin, key);
        std::cout << keySha256(key) << "\n";
    });

    CLI11_PARSE(app, argc, argv);
    return status;
}
