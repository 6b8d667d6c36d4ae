// Quotas of tenants over all entries: charges requests, and keeps the accounts that this entry holds.
#pragma once

#include "peridotgrade/core/admission/holder_lookup.h"
#include "peridotgrade/core/admission/quota_balance.h"
#include "peridotgrade/core/admission/quota_holder.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/peer_socket.h"
#include "peridotgrade/gateway/quota_charge.h"
#include "peridotgrade/gateway/request_context.h"
#include "peridotgrade/wire/quota_codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Each tenant's account is held by the entry that owns the tenant's partition; this entry charges requests
/// to a small balance and asks the holder for more. Without `peerListen` it uses its own share only. A
/// request within the quota waits at most 60 ms. Not thread safe.
class QuotaService {
public:
    QuotaService(GatewayState& state, PeerSocket& socket, MetricsRegistry& registry);
    ~QuotaService();

    /// True if this entry asks other entries.
    bool hasPeers() const { return this->state.settings.peerListen.has_value(); }
    /// True if it does and the configuration has tenants with quotas.
    bool needsOwners() const;

    /// Charges the request to its tenant's quota and puts the charge into its context. If the request is over
    /// the quota, returns when the caller may come back.
    boost::asio::awaitable<std::optional<std::chrono::milliseconds>> charge(RequestContext& context);

    /// This entry's name in the group, before the first request; and its share until it holds partitions.
    void setMember(std::string name, double initialShare)
    {
        this->member = std::move(name);
        this->share = initialShare;
    }
    /// The membership of this entry was confirmed.
    void confirm(const QuotaMembership& membership);
    /// Owners of the group's partitions, in the order of their numbers; an empty name means none.
    void setOwners(std::vector<std::string> owners);
    /// True once after an entry has answered that it is not the holder.
    bool takeOwnersStale() { return std::exchange(this->areOwnersStale, false); }

private:
    struct Waiter;
    struct Account;

    boost::asio::awaitable<QuotaResult> admit(const Tenant& tenant, double tokens, RequestPriority priority);
    Account& accountOf(const Tenant& tenant, TimePoint now);
    void refresh(Account& account, TimePoint now);
    void refreshAll();
    void noteShare(Account& account);
    void noteRefusal(Account& account, double tokens, const QuotaRefusal& refusal);
    void receive(const Endpoint& from, std::string_view datagram);
    void answer(const Endpoint& from, const QuotaRequest& request);
    void sendTo(const std::string& holder, const QuotaRequest& request);
    void acceptGrant(const std::string& from, const QuotaGrant& grant);
    /// Asks another member if that one is not the holder. Only if this entry is no member itself, and does
    /// not read the owners.
    void redirect(Account& account, const std::string& from, const QuotaGrant& grant);
    void advance();
    void arm(std::optional<TimePoint> due);

    GatewayState& state;
    PeerSocket& socket;
    boost::asio::steady_timer timer;
    /// When the timer ends.
    std::optional<TimePoint> armedFor;
    QuotaHolder holder;
    QuotaGroup group;
    std::string member;
    double share = 0;
    bool hasHeldPartitions = false;
    /// When the membership was last confirmed.
    std::optional<TimePoint> confirmedAt;
    /// Addresses of the members and of former ones, and the reverse.
    std::map<std::string, Endpoint> addresses;
    std::map<Endpoint, std::string> members;
    /// Tenants with requests at this entry.
    std::unordered_map<TenantId, std::unique_ptr<Account>> accounts;
    std::shared_ptr<const RoutingConfiguration> configuration;
    bool areOwnersStale = false;
};

} // namespace peridotgrade
