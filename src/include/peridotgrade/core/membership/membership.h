// Which backend servers may get new work, from the VM list, the agents' own word, and silence.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/membership/vm_record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotgrade {

/// Joins three sources, each of which may be late or wrong: the platform's VM list, an agent's word that it
/// is draining, and silence of a connection. A backend server is usable while the list says live (or the list
/// has been out of reach and it was live last), its agent has not said otherwise, and its connection is up. A
/// VM that is not on the list any more is not usable either. Not thread safe.
class Membership {
public:
    Membership();
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// The list as read now, whole.
    void onVmList(std::vector<VmRecord> vms);
    /// The agent's connection is up and it has told which run of it answers.
    void onConnected(const AgentId& agent, Incarnation incarnation);
    void onLost(const AgentId& agent);
    /// The agent said that it is draining; holds until it says otherwise or its process is replaced (a new
    /// incarnation connects).
    void onDraining(const AgentId& agent);
    /// The agent said that it takes work again, as it does after a change of role.
    void onResumed(const AgentId& agent);

    /// Backend servers that a connection should be kept or tried to, in order of name: those on the list, and
    /// those gone from it while their connection is up, so that what runs there is finished.
    std::vector<VmRecord> contacts() const;
    /// Backend servers that may get new work, in order of name.
    std::vector<VmRecord> usable() const;
    bool isUsable(const AgentId& agent) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

/// The `size` members of `agents` that rendezvous hashing gives to `chooser` for `key`, those of the same
/// data centre first. Stable: another agent's coming or going moves no more than one member.
std::vector<VmRecord> stableSubset(const std::vector<VmRecord>& agents, const std::string& chooser,
    const std::string& key, const DataCentreId& dataCentre, std::size_t size);

} // namespace peridotgrade
