// Choices among engines whose speeds have been learned.
#include "placement_bench.h"

#include "measure.h"

#include "peridotgrade/core/serving/engine_load.h"

#include <string>
#include <vector>

namespace peridotgrade::bench {

std::chrono::duration<double> placementTime(std::uint32_t servers)
{
    constexpr int Choices = 2'000;
    constexpr std::uint32_t Tokens = 4'000;
    constexpr std::chrono::milliseconds Gap { 40 };
    std::vector<ServerRecord> records(servers);
    std::vector<const ServerRecord*> candidates;
    ServerPace pace;
    EngineLoad load;
    load.usePace(pace, 3);
    TimePoint now { std::chrono::seconds { 1 } };
    for (std::uint32_t index = 0; index < servers; ++index) {
        records[index].id = ServerId { "engine-" + std::to_string(index) };
        Duration gap = index % 3 == 0 ? Gap / 2 : Gap;
        for (int event = 0; event < 50; ++event)
            pace.recordEvents(records[index], 1, gap, Gap * 10, now);
        pace.noteReport(records[index], { 5, 0, 64, index % 7 == 0 ? 2.5 : 1 }, now);
        load.reserve(records[index].id, Tokens);
        candidates.push_back(&records[index]);
    }
    RandomSource random(1);
    double seconds = cpuSecondsOf([&] {
        for (int choice = 0; choice < Choices; ++choice)
            load.choose(candidates, DataCentreId {}, Tokens, now, random);
    });
    return std::chrono::duration<double> { seconds / Choices };
}

} // namespace peridotgrade::bench
