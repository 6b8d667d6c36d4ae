// Role changes that have begun or may still take effect, as the leader of the entries knows them.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/engine_report.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// The list of servers shows an engine in its old role until its change is complete, so an engine with a
/// change counts with its new role. A leader knows its own commands. Those of its predecessor it learns from
/// reports of the engines, which it reads before it sends commands within `Lifetime` of its first permission
/// to act: an unanswered command of the predecessor may be carried out until then. Not thread safe.
class RoleChanges {
public:
    /// An unanswered command may be carried out up to 12 s later.
    static constexpr std::chrono::seconds Lifetime { 14 };
    /// Engines that are asked for a report before one set of commands. The reports are requested at the same
    /// time, and the smallest machines have a twentieth of a core.
    static constexpr std::size_t MaxReports = 64;

    /// Leadership was gained: whatever is known of the engines' commands may be out of date.
    void takeOver(TimePoint now);
    /// True while a command of the former leader may still be carried out.
    bool isLearning(TimePoint now) const { return now < this->learningUntil; }
    /// The engines to ask now, those asked longest ago first.
    std::vector<const ServerRecord*> enginesToAsk(std::vector<const ServerRecord*> engines) const;
    /// Records the answer of an engine that was asked; nothing if it gave none. The record is that of the
    /// list.
    void noteReport(const ServerRecord& listed, const std::optional<EngineReport>& report, TimePoint now);

    /// A command for that role has been sent to the engine, or may have been.
    void begin(const ServerId& server, ServerRole role, TimePoint now);
    /// A change that another entry has announced and that ends by `until`; it was commanded by a former
    /// leader or seen in a report.
    void noteAnnounced(const ServerId& server, ServerRole role, TimePoint until);
    /// The command has certainly not been sent.
    void cancel(const ServerId& server) { this->pending.erase(server); }
    void expire(TimePoint now);

    bool contains(const ServerId& server) const { return this->pending.contains(server); }
    /// The role that the engine has or will have.
    ServerRole futureRole(const ServerRecord& listed) const;
    /// Engines that the list does not yet show in the role of their change.
    std::size_t countChanging(const std::vector<const ServerRecord*>& listed) const;

private:
    struct Pending {
        ServerRole role;
        TimePoint until;
    };
    /// The first report since the leadership was gained.
    struct FirstReport {
        WallTime startedAt;
        EngineReport report;
    };

    std::map<ServerId, Pending> pending;
    std::map<ServerId, FirstReport> firstReports;
    std::map<ServerId, TimePoint> askedAt;
    TimePoint learningUntil {};
};

} // namespace peridotgrade
