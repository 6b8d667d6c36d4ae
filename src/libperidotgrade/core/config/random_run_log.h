// An unreliable log with a reference replica, for randomised runs of configuration changes.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/config/configuration_replica.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotgrade::test {

enum class AppendResult { Acknowledged, Refused, Unknown };

/// A log stream with retention, outages, lost answers and appends that arrive late. A reference replica reads
/// every record without faults.
class RandomRunLog {
public:
    RandomRunLog(TimerService& timers, RandomSource& random)
        : timers(timers)
        , random(random)
    {
        this->reference.onCaughtUp(LogOffset {});
        this->recordReference();
    }

    struct Appended {
        AppendResult result = AppendResult::Refused;
        LogOffset offset;
    };

    Appended append(const std::string& data)
    {
        if (this->isDown)
            return {};
        // Of ten appends, one is lost, one is stored late and one is stored without an answer.
        std::uint64_t draw = this->areFaultsOn ? this->random.below(10) : 9;
        if (draw == 0)
            return { AppendResult::Unknown, {} };
        if (draw == 1) {
            this->timers.subscribeAfter(std::chrono::milliseconds { this->random.below(20'000) },
                [this, data] { this->store(data); });
            return { AppendResult::Unknown, {} };
        }
        LogOffset offset = this->store(data);
        if (draw == 2)
            return { AppendResult::Unknown, {} };
        return { AppendResult::Acknowledged, offset };
    }

    /// Passes up to `limit` records to the replica; returns false during an outage.
    bool feed(ConfigurationReplica& replica, std::size_t limit)
    {
        if (this->isDown)
            return false;
        this->trim();
        if (replica.nextOffset() < this->oldest())
            replica.onGap(this->oldest());
        std::size_t index = replica.nextOffset().raw();
        for (std::size_t read = 0; read < limit && index < this->records.size(); ++read, ++index)
            replica.onRecord(this->records[index]);
        if (index >= this->records.size())
            replica.onCaughtUp(this->next());
        return true;
    }

    WallTime wallNow() const
    {
        auto since = this->timers.now().time_since_epoch();
        return WallTime { std::chrono::duration_cast<std::chrono::milliseconds>(since) };
    }

    LogOffset oldest() const { return LogOffset { this->firstKept }; }
    LogOffset next() const { return LogOffset { this->records.size() }; }

    static constexpr std::chrono::milliseconds Retention { 120'000 };

    bool isDown = false;
    bool areFaultsOn = true;
    ConfigurationReplica reference;
    /// The configuration of each version that was ever in force.
    std::map<ConfigVersion, SiteConfiguration> versions;
    /// All plans that ever took effect.
    std::map<PlanId, HistoryEntry> plans;

private:
    LogOffset store(const std::string& data)
    {
        LogRecord record;
        record.offset = this->next();
        record.appendedAt = this->wallNow();
        record.data = data;
        this->records.push_back(record);
        this->reference.onRecord(record);
        this->recordReference();
        return record.offset;
    }

    void recordReference()
    {
        this->versions.emplace(this->reference.version(), this->reference.configuration());
        if (!this->reference.history().empty())
            this->plans.emplace(this->reference.history().back().plan, this->reference.history().back());
    }

    void trim()
    {
        while (this->firstKept < this->records.size()
            && this->records[this->firstKept].appendedAt + Retention < this->wallNow())
            ++this->firstKept;
    }

    TimerService& timers;
    RandomSource& random;
    std::vector<LogRecord> records;
    std::size_t firstKept = 0;
};

} // namespace peridotgrade::test
