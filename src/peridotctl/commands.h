// The subcommands of peridotctl. Each prints its result and returns the exit status.
#pragma once

#include "exit_status.h"
#include "node_client.h"
#include "site.h"

#include <chrono>
#include <string>

namespace peridotgrade::ctl {

/// What all commands use.
struct CommandContext {
    Site site;
    NodeClient client;
    bool isJson = false;
};

struct StatusOptions {
    /// Repeats the query until the latest version is in force everywhere or `followTimeout` is over.
    bool shouldFollow = false;
    std::chrono::milliseconds followTimeout { 60'000 };
};

struct TimelineOptions {
    std::string request;
    std::string plan;
    std::string server;
    bool isTrace = false;
};

/// Makes a plan for the intents in a file (`-` for standard input).
int planIntents(const CommandContext& context, const std::string& file);
int showPlan(const CommandContext& context, const std::string& plan);
/// Confirms the plan in `planFile`, or, if that is empty, the one that an entry keeps under the id `plan`.
int confirmPlan(const CommandContext& context, std::string plan, const std::string& planFile);
int showStatus(const CommandContext& context, const StatusOptions& options);
int showHistory(const CommandContext& context);
int showTimeline(const CommandContext& context, const TimelineOptions& options);
/// Checks a settings file of an entry or an agent; only an agent's has the key `backend`.
int checkSettings(const std::string& file, bool isJson);
/// Checks a file with a gateway's configuration, and compares it with the one in `inForceFile` unless that is
/// empty.
int checkConfigurationFile(const std::string& file, const std::string& inForceFile, bool isJson);

} // namespace peridotgrade::ctl
