// Entry point of the goodput benchmark: prints results by policy and load, with the targets that were missed.
#include "experiment.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <set>
#include <thread>

using namespace peridotgrade;
using namespace peridotgrade::bench;

namespace {

constexpr double GoodputTarget = 0.97;
constexpr double WasteTarget = 0.005;
constexpr double LateTarget = 0.01;
constexpr double RetryAdmissionTarget = 0.9;
constexpr double RecoveredShare = 0.95;

struct Options {
    std::vector<std::string> workloads { "kigali", "zelenica" };
    std::vector<double> loads { 0.8, 0.95, 1.1, 1.3, 2.0 };
    std::vector<std::string> policies;
    std::string fault = "none";
    std::uint32_t entries = 1;
    std::uint32_t prefillEngines = 6;
    std::uint32_t decodeEngines = 14;
    std::uint32_t reservationQueueMs = 100;
    std::uint32_t reservationRounds = 3;
    std::uint32_t seconds = 200;
    std::uint64_t seed = 1;
    unsigned threads = std::max(1u, std::thread::hardware_concurrency() / 2);
    bool isCsv = false;
};

const char* mark(bool isMet) { return isMet ? "" : "!"; }

Fault faultOf(const std::string& name)
{
    if (name == "engine")
        return Fault::EngineCrash;
    if (name == "data-centre")
        return Fault::DataCentreLoss;
    if (name == "reports")
        return Fault::LoadReportsStop;
    return Fault::None;
}

SiteSettings siteOf(const Options& options, const std::string& workload, double load)
{
    SiteSettings site;
    site.workload = workload == "kigali" ? kigaliMorning() : zelenicaPlans();
    site.load = load;
    site.entries = options.entries;
    site.prefillEngines = options.prefillEngines;
    site.decodeEngines = options.decodeEngines;
    site.length = std::chrono::seconds { options.seconds };
    site.seed = options.seed;
    site.fault = faultOf(options.fault);
    site.router.reservationRounds = options.reservationRounds;
    site.router.maxReservationQueueTime = std::chrono::milliseconds { options.reservationQueueMs };
    return site;
}

/// Seconds from the fault until goodput over two seconds reaches `RecoveredShare` of the ideal of the
/// remaining engines; -1 if it never does.
int recoverySeconds(const Row& row)
{
    if (row.settings.fault == Fault::None)
        return 0;
    const RunResult& result = row.result;
    SiteSettings after = row.settings;
    if (after.fault == Fault::DataCentreLoss) {
        after.prefillEngines -= (after.prefillEngines + after.dataCentres - 1) / after.dataCentres;
        after.decodeEngines -= after.decodeEngines / after.dataCentres;
    } else if (after.fault == Fault::EngineCrash) {
        after.decodeEngines -= 1;
    }
    double rate = row.settings.load * capacityOf(row.settings).requestsPerSecond;
    SiteCapacity capacity = capacityOf(after);
    double ideal = capacity.idealShare(rate / capacity.requestsPerSecond);
    auto faultAt = std::chrono::duration_cast<std::chrono::seconds>(row.settings.faultAt).count();
    for (std::size_t s = static_cast<std::size_t>(faultAt); s + 2 < result.goodBySecond.size(); ++s) {
        double good = result.goodBySecond[s] + result.goodBySecond[s + 1];
        double offered = result.offeredBySecond[s] + result.offeredBySecond[s + 1];
        if (offered > 0 && good / offered >= RecoveredShare * ideal)
            return static_cast<int>(s) - static_cast<int>(faultAt);
    }
    return -1;
}

void printCsv(const std::vector<Row>& rows)
{
    std::puts("workload,load,entries,policy,offered,good,ideal,of_ideal,late,refused,broken,wasted,come_back,"
              "messages,recovery_s");
    for (const Row& row : rows) {
        const RunResult& result = row.result;
        std::printf("%s,%.2f,%u,%s,%llu,%.4f,%.4f,%.4f,%.4f,%llu,%llu,%.4f,%.4f,%.1f,%d\n",
            row.settings.workload.name.c_str(), row.settings.load, row.settings.entries, row.policy.c_str(),
            static_cast<unsigned long long>(result.offered), result.goodShare(), result.idealShare,
            result.shareOfIdeal(), result.lateShareOfAdmitted(),
            static_cast<unsigned long long>(result.refused), static_cast<unsigned long long>(result.broken),
            result.wastedShare(), result.retryAdmissionShare(), result.messagesPerRequest(),
            recoverySeconds(row));
    }
}

void printTable(const std::vector<Row>& rows)
{
    std::printf("targets: of ideal >= %.2f, wasted < %.3f, late < %.2f, retry ok >= %.2f; ! marks a miss\n",
        GoodputTarget, WasteTarget, LateTarget, RetryAdmissionTarget);
    std::printf("%-9s %5s %-16s %8s %8s %9s %9s %9s %8s %7s %10s %8s %5s\n", "workload", "load", "policy",
        "offered", "good", "of ideal", "wasted", "late", "refused", "broken", "retry ok", "msg/req", "rec s");
    for (const Row& row : rows) {
        const RunResult& result = row.result;
        std::printf(
            "%-9s %5.2f %-16s %8llu %8.3f %8.3f%1s %8.4f%1s %8.4f%1s %8llu %7llu %9.2f%1s %8.1f %5d\n",
            row.settings.workload.name.c_str(), row.settings.load, row.policy.c_str(),
            static_cast<unsigned long long>(result.offered), result.goodShare(), result.shareOfIdeal(),
            mark(result.shareOfIdeal() >= GoodputTarget), result.wastedShare(),
            mark(result.wastedShare() < WasteTarget), result.lateShareOfAdmitted(),
            mark(result.lateShareOfAdmitted() < LateTarget), static_cast<unsigned long long>(result.refused),
            static_cast<unsigned long long>(result.broken), result.retryAdmissionShare(),
            mark(result.retries == 0 || result.retryAdmissionShare() >= RetryAdmissionTarget),
            result.messagesPerRequest(), recoverySeconds(row));
    }
}

std::vector<BenchmarkedPolicy> selectedPolicies(const Options& options)
{
    std::vector<BenchmarkedPolicy> all = allBenchmarkedPolicies();
    if (options.policies.empty())
        return all;
    std::set<std::string> names(options.policies.begin(), options.policies.end());
    std::erase_if(all, [&](const BenchmarkedPolicy& policy) { return names.count(policy.name) == 0; });
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app { "Goodput and wasted prefill of placement policies in virtual time" };
    app.set_version_flag("--version", PERIDOT_VERSION);
    app.add_option("--workloads", options.workloads, "kigali, zelenica")
        ->check(CLI::IsMember({ "kigali", "zelenica" }));
    app.add_option("--loads", options.loads, "offered loads as shares of capacity");
    app.add_option("--policies", options.policies, "policies to run, named as in the table; default: all");
    app.add_option("--fault", options.fault, "fault injected after 30 s")
        ->check(CLI::IsMember({ "none", "engine", "data-centre", "reports" }));
    app.add_option("--entries", options.entries, "number of entry shards")->check(CLI::PositiveNumber);
    app.add_option("--prefill-engines", options.prefillEngines)->check(CLI::PositiveNumber);
    app.add_option("--decode-engines", options.decodeEngines)->check(CLI::PositiveNumber);
    app.add_option(
        "--ask-queue-ms", options.reservationQueueMs, "how long a reservation request may queue at an agent");
    app.add_option("--ask-rounds", options.reservationRounds, "rounds of reservation requests in one attempt")
        ->check(CLI::PositiveNumber);
    app.add_option("--seconds", options.seconds, "virtual seconds of arrivals, 15 of them warm-up")
        ->check(CLI::Range(16, 100'000));
    app.add_option("--seed", options.seed);
    app.add_option("--threads", options.threads)->check(CLI::PositiveNumber);
    app.add_flag("--csv", options.isCsv, "comma-separated values instead of a table");
    CLI11_PARSE(app, argc, argv);

    std::vector<SiteSettings> settings;
    for (const std::string& workload : options.workloads) {
        for (double load : options.loads)
            settings.push_back(siteOf(options, workload, load));
    }
    std::vector<Row> rows = runAll(selectedPolicies(options), settings, options.threads);
    if (options.isCsv)
        printCsv(rows);
    else
        printTable(rows);
    return 0;
}
