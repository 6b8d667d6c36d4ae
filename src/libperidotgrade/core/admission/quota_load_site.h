// A site of entries in virtual time, on links that lose and delay datagrams, for tests of quotas.
#pragma once

#include "peridotgrade/core/admission/holder_lookup.h"
#include "peridotgrade/core/admission/quota_balance.h"
#include "peridotgrade/core/admission/quota_holder.h"
#include "peridotgrade/core/base/random_source.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace peridotgrade::quota_test {

using namespace std::chrono_literals;

constexpr std::size_t Entries = 29;
constexpr std::uint32_t Partitions = 48;
constexpr double Window = 8;
constexpr double PlainTokens = 200;

inline TimePoint at(double seconds)
{
    return TimePoint { std::chrono::milliseconds { std::llround(seconds * 1000) } };
}

struct Load {
    TenantId tenant;
    TenantQuota quota;
    /// Tokens a second, divided among these entries.
    double offered = 0;
    std::vector<std::size_t> entries;
    std::deque<std::pair<TimePoint, double>> inWindow;
    double used = 0;
    double usedInWindow = 0;
    double mostInWindow = 0;
    int refusedByHolder = 0;
    int refusedOnOwnShare = 0;
    int plainCalls = 0;
    int plainCallsThatWaited = 0;

    double bound() const { return (this->quota.perSecond * Window + this->quota.burst) * 1.1 + 140'000; }
};

struct Entry {
    std::string member;
    QuotaHolder holder;
    QuotaGroup group;
    std::map<TenantId, QuotaBalance> balances;
    std::map<TenantId, HolderLookup> lookups;
    std::optional<TimePoint> confirmedAt;
    /// Whom it asks for each tenant.
    std::map<TenantId, std::string> asked;
    std::map<std::pair<TenantId, QuotaTicket>, double> waiting;
    TimePoint nextConfirmation {};
    bool isDead = false;
    bool isPaused = false;
    bool hasStore = true;
    /// Entries of different numbers do not reach each other.
    int network = 0;
};

class Site {
public:
    explicit Site(std::vector<Load> loads)
        : entries(Entries)
        , loads(std::move(loads))
    {
        auto made = std::make_shared<RoutingConfiguration>();
        for (const Load& load : this->loads)
            made->tenants.push_back({ load.tenant, {}, {}, load.quota });
        this->configuration = made;
        for (std::size_t index = 0; index < Entries; ++index)
            this->restart(index);
        for (std::uint32_t partition = 0; partition < Partitions; ++partition)
            this->owners.push_back(partition % Entries);
    }

    void restart(std::size_t index)
    {
        Entry& entry = this->entries[index];
        entry = Entry {};
        entry.member = "e" + std::to_string(index) + "/" + std::to_string(++this->starts);
        entry.holder.setConfiguration(this->configuration);
        entry.nextConfirmation = this->now + std::chrono::milliseconds { this->random.below(300) };
    }

    std::size_t holderOf(const TenantId& tenant) const
    {
        return this->owners[QuotaGroup::partitionOf(tenant, Partitions)];
    }

    /// As the store does when a membership has ended.
    void reassign(std::size_t from)
    {
        for (std::size_t& owner : this->owners)
            owner = owner == from ? (from + 1) % Entries : owner;
        ++this->generation;
    }

    void runUntil(TimePoint end)
    {
        for (; this->now < end; this->now += 1ms) {
            while (!this->network.empty() && this->network.begin()->first <= this->now) {
                auto deliver = std::move(this->network.begin()->second);
                this->network.erase(this->network.begin());
                deliver();
            }
            for (Entry& entry : this->entries)
                this->step(entry);
            for (Load& load : this->loads)
                this->offer(load);
        }
    }

    std::vector<Entry> entries;
    std::vector<Load> loads;

private:
    void step(Entry& entry)
    {
        if (entry.isDead || entry.isPaused)
            return;
        if (entry.hasStore && this->now >= entry.nextConfirmation) {
            entry.nextConfirmation = this->now + 1500ms;
            this->confirm(entry);
        }
        for (auto& [tenant, balance] : entry.balances) {
            if (balance.nextDue() && *balance.nextDue() <= this->now)
                balance.advance(this->now);
        }
    }

    void confirm(Entry& entry)
    {
        QuotaMembership membership { { {}, Partitions, true }, this->generation, this->now };
        std::vector<std::string> names;
        for (std::uint32_t partition = 0; partition < Partitions; ++partition) {
            names.push_back(this->entries[this->owners[partition]].member);
            if (names.back() == entry.member)
                membership.held.numbers.insert(partition);
        }
        entry.group = entry.group.updated(names, this->now);
        entry.holder.setGroup(&entry.group);
        entry.holder.confirm(membership);
        entry.confirmedAt = this->now;
        for (auto& [tenant, balance] : entry.balances)
            this->refresh(entry, tenant, balance);
    }

    void refresh(Entry& entry, const TenantId& tenant, QuotaBalance& balance)
    {
        bool isMember = entry.holder.isMember(this->now);
        balance.setShare(entry.group.shareOf(entry.member), this->now);
        balance.setMember(isMember, this->now);
        HolderLookup& lookup = entry.lookups.try_emplace(tenant, tenant, entry.member).first->second;
        auto holder
            = lookup.find(entry.group, isMember, entry.confirmedAt, balance.isOnOwnShare(), this->now);
        entry.asked[tenant] = std::string { holder.value_or("") };
        balance.setHolder(holder, this->now);
    }

    void redirect(Entry& entry, const std::string& from, const QuotaGrant& grant, QuotaBalance& balance)
    {
        bool mayAskOther
            = !grant.isHolder && !entry.holder.isMember(this->now) && entry.asked[grant.tenant] == from;
        if (mayAskOther
            && entry.lookups.at(grant.tenant).redirect(entry.group, from, grant.holder, this->now))
            this->refresh(entry, grant.tenant, balance);
    }

    QuotaBalance& balanceOf(Entry& entry, Load& load)
    {
        auto found = entry.balances.find(load.tenant);
        if (found == entry.balances.end()) {
            QuotaBalance::Hooks hooks;
            hooks.send = [this, &entry](const std::string& to, const QuotaRequest& request) {
                for (Entry& each : this->entries) {
                    if (each.member == to)
                        this->deliver(entry, each, [this, &entry, &each, request] {
                            if (!this->knows(each, request.member))
                                return;
                            if (auto grant = each.holder.answer(request, this->now))
                                this->deliver(each, entry, [this, &entry, from = each.member, grant] {
                                    auto balance = entry.balances.find(grant->tenant);
                                    if (balance == entry.balances.end())
                                        return;
                                    this->redirect(entry, from, *grant, balance->second);
                                    balance->second.accept(from, *grant, this->now);
                                });
                        });
                }
            };
            hooks.settle = [this, &entry, &load](QuotaTicket ticket, const QuotaResult& result) {
                this->note(load, entry.waiting.extract({ load.tenant, ticket }).mapped(), result);
            };
            found = entry.balances
                        .try_emplace(load.tenant, load.tenant, entry.member, load.quota, this->now, hooks)
                        .first;
        }
        this->refresh(entry, load.tenant, found->second);
        return found->second;
    }

    /// Datagrams of others than present and former members are dropped.
    static bool knows(const Entry& entry, const std::string& member)
    {
        auto former = entry.group.formerNames();
        return entry.group.shareOf(member) > 0
            || std::find(former.begin(), former.end(), member) != former.end();
    }

    /// To a paused process it comes when it resumes; to one that has restarted never.
    void deliver(Entry& from, Entry& to, std::function<void()> action)
    {
        bool isLost = from.network != to.network || (&from != &to && this->random.below(1000) < 5);
        if (isLost || to.isDead)
            return;
        std::chrono::milliseconds delay { &from == &to ? 0 : 1 + this->random.below(8) };
        this->network.emplace(this->now + delay, [this, &from, &to, name = to.member, action] {
            if (to.member != name || to.isDead)
                return;
            if (to.isPaused)
                this->deliver(from, to, action);
            else
                action();
        });
    }

    void offer(Load& load)
    {
        // Two plain calls to a stream of 3,000 to 7,000 tokens.
        constexpr double MeanTokens = (5000 + 2 * PlainTokens) / 3;
        if (this->random.unit() >= load.offered / MeanTokens / 1000)
            return;
        Entry& entry = this->entries[load.entries[this->random.below(load.entries.size())]];
        if (entry.isDead || entry.isPaused)
            return;
        bool isPlain = this->random.below(3) > 0;
        double tokens = isPlain ? PlainTokens : 3000 + static_cast<double>(this->random.below(4000));
        load.plainCalls += isPlain ? 1 : 0;
        QuotaDecision decision = this->balanceOf(entry, load).admit(tokens, {}, this->now);
        if (const auto* ticket = std::get_if<QuotaTicket>(&decision))
            this->await(load, entry, *ticket, tokens);
        else if (const auto* source = std::get_if<QuotaSource>(&decision))
            this->note(load, tokens, *source);
        else
            this->note(load, tokens, std::get<QuotaRefusal>(decision));
    }

    void await(Load& load, Entry& entry, QuotaTicket ticket, double tokens)
    {
        entry.waiting[{ load.tenant, ticket }] = tokens;
        load.plainCallsThatWaited += tokens == PlainTokens ? 1 : 0;
    }

    void note(Load& load, double tokens, const QuotaResult& result)
    {
        if (const auto* refusal = std::get_if<QuotaRefusal>(&result)) {
            ++(refusal->source == QuotaSource::Balance ? load.refusedByHolder : load.refusedOnOwnShare);
            return;
        }
        load.inWindow.emplace_back(this->now, tokens);
        load.used += tokens;
        load.usedInWindow += tokens;
        while (load.inWindow.front().first <= this->now - std::chrono::seconds { 8 }) {
            load.usedInWindow -= load.inWindow.front().second;
            load.inWindow.pop_front();
        }
        load.mostInWindow = std::max(load.mostInWindow, load.usedInWindow);
    }

    std::shared_ptr<const RoutingConfiguration> configuration;
    std::vector<std::size_t> owners;
    std::uint64_t generation = 1;
    int starts = 0;
    RandomSource random { 11 };
    TimePoint now = at(1);
    std::multimap<TimePoint, std::function<void()>> network;
};

} // namespace peridotgrade::quota_test
