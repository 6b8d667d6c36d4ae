// Combines the VM list, the agents' draining reports and their connections.
#include "peridotgrade/core/membership/membership.h"

#include <map>
#include <optional>

namespace peridotgrade {

namespace {

    struct Member {
        VmRecord vm;
        bool isListed = false;
        bool isConnected = false;
        Incarnation incarnation;
        /// The incarnation that reported that it is draining; a later one has not.
        std::optional<Incarnation> drainingIncarnation;

        bool isDraining() const { return this->drainingIncarnation == this->incarnation; }

        bool isUsable() const
        {
            if (!this->isListed || this->vm.state != VmState::Live)
                return false;
            return this->isConnected && !this->isDraining();
        }

        /// A VM that has left the list stays connected: the list may be wrong, and running work is finished.
        bool isConnectionTarget() const
        {
            return this->isListed || (this->isConnected && !this->vm.name.empty());
        }

        bool isRemovable() const { return !this->isListed && !this->isConnected; }
    };

} // namespace

class Membership::Impl {
public:
    void onVmList(std::vector<VmRecord> vms)
    {
        for (auto& [name, member] : this->members)
            member.isListed = false;
        for (VmRecord& vm : vms) {
            if (vm.kind == VmKind::Entry)
                continue;
            Member& member = this->members[vm.name];
            member.vm = std::move(vm);
            member.isListed = true;
        }
        std::erase_if(this->members, [](const auto& entry) { return entry.second.isRemovable(); });
    }

    Member& at(const AgentId& agent) { return this->members[agent.raw()]; }

    const Member* find(const AgentId& agent) const
    {
        auto found = this->members.find(agent.raw());
        return found == this->members.end() ? nullptr : &found->second;
    }

    void onLost(const AgentId& agent)
    {
        auto found = this->members.find(agent.raw());
        if (found == this->members.end())
            return;
        found->second.isConnected = false;
        if (found->second.isRemovable())
            this->members.erase(found);
    }

    void onDraining(const AgentId& agent)
    {
        auto found = this->members.find(agent.raw());
        if (found != this->members.end())
            found->second.drainingIncarnation = found->second.incarnation;
    }

    void onResumed(const AgentId& agent)
    {
        auto found = this->members.find(agent.raw());
        if (found != this->members.end())
            found->second.drainingIncarnation.reset();
    }

    template <typename Predicate> std::vector<VmRecord> select(Predicate predicate) const
    {
        std::vector<VmRecord> selected;
        for (const auto& [name, member] : this->members) {
            if (predicate(member))
                selected.push_back(member.vm);
        }
        return selected;
    }

private:
    /// Keyed by VM name. Invariant: every member is listed or connected.
    std::map<std::string, Member> members;
};

Membership::Membership()
    : impl(std::make_unique<Impl>())
{
}

Membership::~Membership() = default;

void Membership::onVmList(std::vector<VmRecord> vms) { this->impl->onVmList(std::move(vms)); }

void Membership::onConnected(const AgentId& agent, Incarnation incarnation)
{
    Member& member = this->impl->at(agent);
    member.isConnected = true;
    member.incarnation = incarnation;
}

void Membership::onLost(const AgentId& agent) { this->impl->onLost(agent); }

void Membership::onDraining(const AgentId& agent) { this->impl->onDraining(agent); }

void Membership::onResumed(const AgentId& agent) { this->impl->onResumed(agent); }

std::vector<VmRecord> Membership::connectionTargets() const
{
    return this->impl->select([](const Member& member) { return member.isConnectionTarget(); });
}

std::vector<VmRecord> Membership::usable() const
{
    return this->impl->select([](const Member& member) { return member.isUsable(); });
}

bool Membership::isUsable(const AgentId& agent) const
{
    const Member* member = this->impl->find(agent);
    return member && member->isUsable();
}

} // namespace peridotgrade
