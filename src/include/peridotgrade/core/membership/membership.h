// Tracks which backend servers may get new work, from the VM list, the agents' own reports and their
// connections.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/membership/vm_record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotgrade {

/// Combines three sources, each of which may be late or wrong: the platform's VM list, an agent's report that
/// it is draining, and the state of its connection. A backend server is usable while the list says live (or
/// the list has been unreachable and it was live last), its agent has not reported otherwise, and its
/// connection is up. A VM that is no longer on the list is not usable either. Not thread safe.
class Membership {
public:
    Membership();
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// The complete list as it was just read.
    void onVmList(std::vector<VmRecord> vms);
    /// The agent's connection is up, and the agent has reported its incarnation.
    void onConnected(const AgentId& agent, Incarnation incarnation);
    void onLost(const AgentId& agent);
    /// The agent reported that it is draining. This holds until it reports otherwise or its process is
    /// replaced (a new incarnation connects).
    void onDraining(const AgentId& agent);
    /// The agent reported that it takes work again, as it does after a change of role.
    void onResumed(const AgentId& agent);

    /// Backend servers to which a connection is kept or tried, in order of name: those on the list, and those
    /// that have left it while their connection is up, so that running work is finished.
    std::vector<VmRecord> connectionTargets() const;
    /// Backend servers that may get new work, in order of name.
    std::vector<VmRecord> usable() const;
    bool isUsable(const AgentId& agent) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

/// The `size` members of `agents` that rendezvous hashing assigns to `chooser` (an entry shard) for `key`
/// (its pool of agents), those in `dataCentre` first. Stable: when another agent is added or removed, no more
/// than one member changes.
std::vector<VmRecord> stableSubset(const std::vector<VmRecord>& agents, const std::string& chooser,
    const std::string& key, const DataCentreId& dataCentre, std::size_t size);

} // namespace peridotgrade
