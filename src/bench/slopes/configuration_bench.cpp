// Builds configurations of growing size and measures their replica, snapshots and records.
#include "configuration_bench.h"

#include "fit.h"
#include "measure.h"

#include "peridotgrade/core/actions/claim.h"
#include "peridotgrade/core/config/configuration_codec.h"
#include "peridotgrade/core/config/configuration_replica.h"

#include <cstdio>
#include <optional>
#include <string>

namespace peridotgrade::bench {

namespace {

    constexpr std::size_t KeyHashLength = 64;

    ConfigurationChange engineChange(std::uint32_t index)
    {
        SetEngine change;
        change.engine.agent = AgentId { "engine-" + std::to_string(index) };
        change.engine.service = ServiceId { "reminder-llm" };
        change.engine.model = ModelId { "model-" + std::to_string(index % 14) };
        change.engine.modelVersion = "2026-11-01";
        change.engine.role = index % 3 == 0 ? EngineRole::Prefill : EngineRole::Decode;
        return change;
    }

    ConfigurationChange workspaceChange(std::uint32_t index)
    {
        SetWorkspace change;
        change.workspace.id = WorkspaceId { "workspace-" + std::to_string(index) };
        change.workspace.keySha256 = std::string(KeyHashLength, 'a');
        change.workspace.requestsPerSecond = 10;
        return change;
    }

    std::vector<ConfigurationChange> siteOf(std::uint32_t engines, std::uint32_t workspaces)
    {
        std::vector<ConfigurationChange> changes;
        for (std::uint32_t i = 0; i < engines; ++i)
            changes.push_back(engineChange(i));
        for (std::uint32_t i = 0; i < workspaces; ++i)
            changes.push_back(workspaceChange(i));
        return changes;
    }

    LogRecord recordOf(const ConfigurationReplica& replica, const std::vector<ConfigurationChange>& changes)
    {
        PlanConfirmation confirmed;
        confirmed.plan = PlanId { "0123456789abcdef" };
        confirmed.base = replica.version();
        confirmed.operatorName = "operator";
        confirmed.changes = changes;
        confirmed.summary = "serve model-3 2026-11-01 on 1 engine";
        return LogRecord { replica.nextOffset(), WallTime {}, encodeRecord(confirmed) };
    }

    void measureReplica()
    {
        std::vector<Point> memory;
        std::vector<Point> change;
        std::vector<Point> snapshotBytes;
        std::vector<Point> snapshotTime;
        for (std::uint32_t engines : { 100u, 400u, 1'000u, 2'000u, 3'800u }) {
            std::uint32_t workspaces = engines * 1'300 / 3'800;
            std::optional<ConfigurationReplica> replica;
            replica.emplace();
            LogRecord first = recordOf(*replica, siteOf(engines, workspaces));
            double x = engines;
            memory.push_back({ x, heapGrowthOf([&] { replica->onRecord(first); }) });
            LogRecord next = recordOf(*replica, { engineChange(engines / 2) });
            change.push_back({ x, cpuSecondsOf([&] { replica->onRecord(next); }) * 1e3 });
            std::string snapshot;
            snapshotTime.push_back(
                { x, cpuSecondsOf([&] { snapshot = encodeRecord(replica->snapshot()); }) * 1e3 });
            snapshotBytes.push_back({ x, static_cast<double>(snapshot.size()) });
        }
        printFit("replica memory/engine (+0.34 ws)", "B/engine", memory);
        printFit("replica time per change by engines", "ms/engine", change);
        printFit("snapshot bytes per engine", "B/engine", snapshotBytes);
        printFit("snapshot time per engine", "ms/engine", snapshotTime);
    }

    void measureRecords()
    {
        ConfigurationReplica replica;
        Claim claim;
        claim.key = IdempotencyKey { "workspace-123/care-app/0193a3f2-7c1e-7abc-8def-0123456789ab" };
        claim.entry = EntryId { "entry-123/0" };
        claim.nonce = ClaimNonce { ~0ULL };
        claim.agent = AgentId { "care-app-17" };
        claim.agentIncarnation = Incarnation { ~0ULL };
        claim.content = Fingerprint { ~0ULL };
        std::printf("%-34s change of one engine %zu B, claim %zu B\n", "records in the log",
            recordOf(replica, { engineChange(3'000) }).data.size(), encodeClaim(claim).size());
    }

} // namespace

void measureConfiguration()
{
    measureReplica();
    measureRecords();
}

} // namespace peridotgrade::bench
