// Settings of a gateway: an entry on the platform's machines.
#pragma once

#include "peridotgrade/core/serving/engine_demand.h"
#include "peridotgrade/core/serving/load_aware_scheduling.h"
#include "peridotgrade/core/serving/retry_budget_share.h"
#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/ops/logger.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

struct GatewaySettings {
    std::string nodeName;
    std::string dataCentre;
    Endpoint callersListen;
    Endpoint readinessListen;
    Endpoint metricsListen;
    Endpoint store;
    LogLevel logLevel = LogLevel::Info;
    /// Maximum log lines per second, so that logs stay bounded under load; suppressed lines are counted and
    /// reported.
    std::uint32_t maxLogLinesPerSecond = 400;
    /// Partitions of each topic of the store.
    std::uint32_t storePartitions = 1;
    RetryBudgetLimits retries;
    /// Longest time from SIGTERM to the end of the process.
    std::chrono::milliseconds stopWithin { 8000 };
    /// After a change of leader, the new leader waits this long before it acts.
    std::chrono::milliseconds leaderLease { 3000 };
    /// Engine time that a request is expected to take, for the roles of engines before the first request.
    std::optional<RoleDemand> expectedDemand;
    /// The shortest membership lifetime that the store accepts.
    std::chrono::milliseconds minMembershipLifetime { 1000 };
    /// The process is ended above so many megabytes; nothing if no limit is known.
    std::optional<std::uint32_t> memoryMb;
    /// Address for datagrams of other entries, for quotas of tenants and observations of servers. Without it
    /// an entry allows each tenant its own share only, and shares no observations.
    std::optional<Endpoint> peerListen;
    /// Placement by learned speeds, queues by expected times, and their exchange with other entries.
    LoadAwareScheduling loadAwareScheduling = LoadAwareScheduling::Auto;
};

/// Collects settings and checks the constraints between them.
class GatewaySettingsBuilder {
public:
    GatewaySettingsBuilder& node(std::string name, std::string dataCentre);
    GatewaySettingsBuilder& listen(Endpoint callers, Endpoint readiness, Endpoint metrics);
    GatewaySettingsBuilder& store(Endpoint address, std::uint32_t partitions);
    GatewaySettingsBuilder& logs(LogLevel level, std::uint32_t maxLinesPerSecond);
    GatewaySettingsBuilder& retries(RetryBudgetLimits limits);
    GatewaySettingsBuilder& stopWithin(std::chrono::milliseconds value);
    GatewaySettingsBuilder& leadership(
        std::chrono::milliseconds lease, std::chrono::milliseconds minMembershipLifetime);
    GatewaySettingsBuilder& expectedDemand(std::optional<RoleDemand> value);
    GatewaySettingsBuilder& memory(std::optional<std::uint32_t> megabytes);
    GatewaySettingsBuilder& peers(std::optional<Endpoint> listen);
    GatewaySettingsBuilder& loadAwareScheduling(LoadAwareScheduling mode);
    std::variant<GatewaySettings, SettingsError> build() const;

private:
    GatewaySettings settings;
};

/// Reads and checks a settings file. The error names file, key and fix.
std::variant<GatewaySettings, SettingsError> readGatewaySettings(const std::string& path);
/// The same for a text; `file` is named in errors.
std::variant<GatewaySettings, SettingsError> parseGatewaySettings(
    const std::string& text, const std::string& file);

} // namespace peridotgrade
