// Fixture with an action router whose outputs are sorted by kind.
#pragma once

#include "peridotgrade/core/actions/action_router.h"

#include "peridotgrade/core/actions/claim.h"
#include "test_keys.h"

#include <boost/test/unit_test.hpp>

namespace peridotgrade::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const AgentId FirstAgent { "app-1" };
inline const AgentId SecondAgent { "app-2" };
inline const Incarnation CurrentIncarnation { 5 };
inline const ServiceId Service { "care-app" };

struct RouterFixture {
    RouterFixture()
        : random(1)
        , router(settings(), timers, random, events)
    {
        router.updateCandidates({ { FirstAgent, Service, DataCentreId { "dc" } } });
        router.onAgentConnected(FirstAgent, CurrentIncarnation);
    }

    static ActionRouterSettings settings()
    {
        ActionRouterSettings settings;
        settings.entry = EntryId { "entry-1/0" };
        settings.dataCentre = DataCentreId { "dc" };
        return settings;
    }

    void addSecondAgent()
    {
        router.updateCandidates({ { FirstAgent, Service, DataCentreId { "dc" } },
            { SecondAgent, Service, DataCentreId { "far" } } });
        router.onAgentConnected(SecondAgent, CurrentIncarnation);
    }

    void submit(std::uint64_t id, const IdempotencyKey& key, const std::string& body = "x")
    {
        CallRequest request;
        request.id = RequestId { id };
        request.service = Service;
        request.key = key;
        request.call.method = key.raw().empty() ? "GET" : "POST";
        request.call.body = body;
        request.deadline = timers.now() + seconds { 10 };
        router.submit(request, wallNow());
        collect();
    }

    WallTime wallNow() const
    {
        return DayStart + std::chrono::duration_cast<milliseconds>(timers.now().time_since_epoch());
    }

    void advance(milliseconds by)
    {
        timers.advance(timers.now() + by);
        collect();
    }

    void collect()
    {
        for (CallAction& action : router.takeActions()) {
            if (auto* append = std::get_if<AppendClaims>(&action))
                appends.push_back(*append);
            else if (auto* finish = std::get_if<FinishCall>(&action))
                finished.push_back(*finish);
            else if (auto* refuse = std::get_if<RefuseRequest>(&action))
                refused.push_back(*refuse);
            else
                sent.push_back(std::get<SendToAgent>(action));
        }
    }

    void read(const std::string& data)
    {
        router.onRecords({ { LogOffset { nextOffset++ }, wallNow(), data } });
        collect();
    }

    /// Acknowledges the last batch and reads its records back.
    void completeAppend()
    {
        router.onAppendResult(appends.back().append, AppendResult::Appended);
        for (const std::string& data : appends.back().records)
            read(data);
    }

    void readForeignClaim(std::uint64_t nonce, const Claim& original, const AgentId& agent,
        std::optional<ClaimNonce> supersedes = std::nullopt)
    {
        Claim claim = original;
        claim.entry = EntryId { "entry-2/0" };
        claim.nonce = ClaimNonce { nonce };
        claim.agent = agent;
        claim.supersedes = supersedes;
        read(encodeClaim(claim));
    }

    Claim lastClaim() { return std::get<Claim>(decodeClaim(appends.back().records.back())); }

    template <typename Message> std::size_t sentCount() const
    {
        std::size_t count = 0;
        for (const SendToAgent& message : sent)
            count += std::holds_alternative<Message>(message.message);
        return count;
    }

    void reportLast(ActionState state, const std::string& body = {})
    {
        const SendToAgent last = sent.back();
        ActionReport report;
        report.state = state;
        report.incarnation = CurrentIncarnation;
        report.answer.body = body;
        if (auto* start = std::get_if<StartAction>(&last.message)) {
            report.attempt = start->attempt;
            report.key = start->key;
        } else {
            auto& query = std::get<QueryAction>(last.message);
            report.attempt = query.attempt;
            report.key = query.key;
        }
        router.onMessage(last.agent, report);
        collect();
    }

    bool isLastRefusal(RefusalReason reason, Outcome outcome) const
    {
        return !refused.empty() && refused.back().refusal.reason == reason
            && refused.back().refusal.outcome == outcome;
    }

    /// Submits `key` and advances until its claim is in an append.
    void submitAndBatch(std::uint64_t id)
    {
        submit(id, key);
        advance(milliseconds { 5 });
    }

    TimerService timers;
    RandomSource random;
    NullEventSink events;
    ActionRouter router;
    std::vector<AppendClaims> appends;
    std::vector<FinishCall> finished;
    std::vector<RefuseRequest> refused;
    std::vector<SendToAgent> sent;
    std::uint64_t nextOffset = 0;
    const IdempotencyKey key = keyAt(DayStart, 1);
};

} // namespace peridotgrade::testing
