// Entry point of the slopes benchmark: memory, messages and CPU time of each component against its size, with
// the slope of a fitted line.
#include "configuration_bench.h"
#include "fit.h"
#include "host_bench.h"
#include "live_bytes.h"
#include "measure.h"
#include "placement_bench.h"
#include "quota_bench.h"
#include "router_bench.h"

#include "peridotgrade/core/membership/membership.h"
#include "peridotgrade/core/quarantine/quarantine.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <optional>

using namespace peridotgrade;
using namespace peridotgrade::bench;

namespace {

constexpr std::uint32_t PromptBytes = 4'000;

void routerMemoryPerRequest()
{
    RouterBench router(64);
    std::vector<Point> points;
    auto start = liveBytes();
    for (std::uint32_t open = 0; open <= 4'000; ++open) {
        if (open % 500 == 0)
            points.push_back({ static_cast<double>(open), static_cast<double>(liveBytes() - start) });
        router.openRequest(PromptBytes);
    }
    printFit("router memory per open request", "B/request", points);
}

void routerMemoryPerEngine()
{
    std::vector<Point> points;
    for (std::uint32_t engines : { 10u, 100u, 400u, 1'000u, 2'000u, 3'800u }) {
        std::optional<RouterBench> router;
        points.push_back({ static_cast<double>(engines), heapGrowthOf([&] { router.emplace(engines); }) });
    }
    printFit("router memory per engine known", "B/engine", points);
}

void placementTimePerServer()
{
    std::vector<Point> points;
    for (std::uint32_t servers : { 10u, 44u, 100u, 300u })
        points.push_back({ static_cast<double>(servers), placementTime(servers).count() * 1e9 });
    printFit("choice of an engine by pace per server", "ns/server", points);
}

void decisionTimePerEngine()
{
    std::vector<Point> points;
    constexpr int Requests = 400;
    for (std::uint32_t engines : { 10u, 32u, 100u, 400u, 1'000u, 2'000u, 3'800u }) {
        RouterBench router(engines);
        double seconds = cpuSecondsOf([&] {
            for (int i = 0; i < Requests; ++i) {
                router.openRequest(PromptBytes);
                router.finishOldest(1);
            }
        });
        points.push_back({ static_cast<double>(engines), seconds / Requests * 1e6 });
    }
    printFit("router work per request by engines", "us/engine", points);
}

void routerTimePerToken()
{
    std::vector<Point> points;
    for (std::uint32_t tokens : { 100u, 400u, 1'000u, 4'000u }) {
        RouterBench router(64);
        router.openRequest(PromptBytes);
        points.push_back(
            { static_cast<double>(tokens), cpuSecondsOf([&] { router.finishOldest(tokens); }) * 1e6 });
    }
    printFit("router and codec work per token", "us/token", points);
}

void trafficPerRequest()
{
    constexpr std::uint32_t Requests = 1'000;
    RouterBench router(64);
    Traffic before = router.traffic();
    for (std::uint32_t i = 0; i < Requests; ++i) {
        router.openRequest(PromptBytes);
        router.finishOldest(1);
    }
    Traffic after = router.traffic();
    std::printf(
        "%-34s out=%.2f messages %.1f B, in=%.2f messages %.1f B (prompt %u B, sent twice; 2 tokens)\n",
        "traffic per request", double(after.messagesOut - before.messagesOut) / Requests,
        double(after.bytesOut - before.bytesOut) / Requests,
        double(after.messagesIn - before.messagesIn) / Requests,
        double(after.bytesIn - before.bytesIn) / Requests, PromptBytes);
}

void renewalTraffic()
{
    std::vector<Point> messages;
    std::vector<Point> bytes;
    constexpr double Seconds = 4;
    for (std::uint32_t open : { 0u, 25u, 50u, 100u, 200u, 400u }) {
        RouterBench router(64);
        for (std::uint32_t i = 0; i < open; ++i)
            router.openRequest(PromptBytes);
        Traffic before = router.traffic();
        router.advance(std::chrono::seconds { 4 });
        Traffic after = router.traffic();
        messages.push_back({ double(open), double(after.renewals - before.renewals) / Seconds });
        bytes.push_back({ double(open), double(after.renewalBytes - before.renewalBytes) / Seconds });
    }
    printFit("lease renewals by open requests", "messages/s/request", messages);
    printFit("lease renewal bytes by open requests", "B/s/request", bytes);
}

void hostMemory()
{
    std::vector<Point> sessions;
    for (std::uint32_t count : { 10u, 50u, 100u, 200u, 390u }) {
        HostBench host(20);
        sessions.push_back({ double(count), heapGrowthOf([&] { host.openSessions(count); }) });
    }
    printFit("host memory per session", "B/session", sessions);
    std::vector<Point> reservations;
    for (std::uint32_t count : { 4u, 8u, 16u, 20u }) {
        HostBench host(20);
        host.openSessions(20);
        reservations.push_back(
            { double(count), heapGrowthOf([&] { host.startStreams(count, PromptBytes); }) });
        if (host.reservationsHeld() != count)
            std::printf("host holds %u reservations instead of %u\n", host.reservationsHeld(), count);
    }
    printFit("host memory per reservation in use", "B/reservation", reservations);
}

std::vector<VmRecord> makeVms(std::uint32_t count)
{
    std::vector<VmRecord> vms;
    for (std::uint32_t i = 0; i < count; ++i) {
        VmRecord vm;
        vm.name = "vm" + std::to_string(i);
        vm.address = "10.0.0.1:" + std::to_string(1000 + i);
        vm.dataCentre = DataCentreId { "dc" + std::to_string(i % 4) };
        vm.service = ServiceId { "reminder-llm" };
        vms.push_back(std::move(vm));
    }
    return vms;
}

void membershipCost()
{
    std::vector<Point> memory;
    std::vector<Point> update;
    std::vector<Point> subset;
    for (std::uint32_t count : { 100u, 400u, 1'000u, 2'000u, 4'190u }) {
        auto vms = makeVms(count);
        Membership membership;
        memory.push_back({ double(count), heapGrowthOf([&] { membership.onVmList(vms); }) });
        update.push_back({ double(count), cpuSecondsOf([&] { membership.onVmList(vms); }) * 1e3 });
        subset.push_back({ double(count),
            cpuSecondsOf([&] { stableSubset(vms, "entry/0", "m", DataCentreId { "dc0" }, 32); }) * 1e3 });
    }
    printFit("membership memory per VM", "B/VM", memory);
    printFit("membership time per VM and list", "ms/VM", update);
    printFit("stable subset time per VM", "ms/VM", subset);
}

void quarantineMemory()
{
    std::vector<Point> points;
    for (std::uint32_t count : { 500u, 1'000u, 2'000u, 4'000u }) {
        Quarantine quarantine;
        points.push_back({ double(count), heapGrowthOf([&] {
                              for (std::uint32_t i = 0; i < count; ++i)
                                  quarantine.quarantine(Fingerprint { i * 7919ull });
                          }) });
    }
    printFit("quarantine memory per fingerprint", "B/fingerprint", points);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Slopes of state, messages and CPU time against size" };
    app.set_version_flag("--version", PERIDOT_VERSION);
    std::uint32_t engines = 0;
    std::uint32_t requests = 0;
    bool isPlacementOnly = false;
    app.add_flag("--placement", isPlacementOnly, "only measure the choice of an engine by pace");
    app.add_option("--decisions-engines", engines,
        "only run routing decisions with this many engines (for instruction counts)");
    app.add_option("--decisions", requests, "number of routing decisions with --decisions-engines");
    CLI11_PARSE(app, argc, argv);
    if (isPlacementOnly) {
        placementTimePerServer();
        return 0;
    }
    if (engines > 0) {
        RouterBench router(engines);
        for (std::uint32_t i = 0; i < requests; ++i) {
            router.openRequest(PromptBytes);
            router.finishOldest(1);
        }
        return 0;
    }
    routerMemoryPerRequest();
    routerMemoryPerEngine();
    decisionTimePerEngine();
    placementTimePerServer();
    routerTimePerToken();
    trafficPerRequest();
    renewalTraffic();
    hostMemory();
    membershipCost();
    quarantineMemory();
    measureConfiguration();
    measureQuotas();
    return 0;
}
