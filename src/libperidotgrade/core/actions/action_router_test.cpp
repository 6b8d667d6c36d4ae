// Tests of single decisions of the action router.
#include "router_fixture.h"

using namespace peridotgrade;
using namespace peridotgrade::testing;
using std::chrono::minutes;

BOOST_FIXTURE_TEST_SUITE(action_router, RouterFixture)

BOOST_AUTO_TEST_CASE(an_action_is_claimed_read_back_sent_and_answered)
{
    submitAndBatch(1);
    BOOST_REQUIRE(appends.size() == 1u);
    router.onAppendResult(appends.back().append, AppendResult::Appended);
    collect();
    BOOST_TEST(sent.empty());
    read(appends.back().records.front());
    BOOST_REQUIRE(sentCount<StartAction>() == 1u);
    reportLast(ActionState::Answered, "done");
    BOOST_REQUIRE(finished.size() == 1u);
    BOOST_TEST(finished.back().answer.body == "done");
    BOOST_TEST(router.openRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(many_claims_share_one_append)
{
    for (std::uint32_t serial = 1; serial <= 20; ++serial)
        submit(serial, keyAt(DayStart, serial));
    advance(milliseconds { 5 });
    BOOST_REQUIRE(appends.size() == 1u);
    BOOST_TEST(appends.back().records.size() == 20u);
}

BOOST_AUTO_TEST_CASE(requests_with_one_key_share_a_claim_and_other_content_is_refused)
{
    submit(1, key);
    submit(2, key);
    submit(3, key, "something else");
    BOOST_TEST(isLastRefusal(RefusalReason::KeyConflict, Outcome::NotRun));
    advance(milliseconds { 5 });
    BOOST_TEST(appends.back().records.size() == 1u);
    completeAppend();
    reportLast(ActionState::Answered, "done");
    BOOST_TEST(finished.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_lost_append_acknowledgement_is_settled_by_reading)
{
    submitAndBatch(1);
    router.onAppendResult(appends.back().append, AppendResult::Unknown);
    read(appends.back().records.front());
    BOOST_TEST(sentCount<StartAction>() == 1u);
    // A second copy of the claim, appended twice by the log, is void.
    read(appends.back().records.front());
    BOOST_TEST(sentCount<StartAction>() == 1u);
}

BOOST_AUTO_TEST_CASE(a_claim_that_never_arrived_is_appended_again_with_its_nonce)
{
    submitAndBatch(1);
    Claim before = lastClaim();
    advance(milliseconds { 100 });
    router.onAppendResult(appends.back().append, AppendResult::Unknown);
    router.onCaughtUp(LogOffset { 0 }, timers.now() - milliseconds { 1 });
    advance(milliseconds { 5 });
    BOOST_TEST(appends.size() == 1u);
    router.onCaughtUp(LogOffset { 0 }, timers.now());
    advance(milliseconds { 5 });
    BOOST_REQUIRE(appends.size() == 2u);
    BOOST_TEST((lastClaim().nonce == before.nonce));
}

BOOST_AUTO_TEST_CASE(the_loser_queries_the_winners_agent_and_returns_its_answer)
{
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), FirstAgent);
    completeAppend();
    BOOST_TEST(sentCount<StartAction>() == 0u);
    BOOST_REQUIRE(sentCount<QueryAction>() == 1u);
    reportLast(ActionState::Running);
    reportLast(ActionState::Answered, "first one's");
    BOOST_REQUIRE(finished.size() == 1u);
    BOOST_TEST(finished.back().answer.body == "first one's");
}

BOOST_AUTO_TEST_CASE(the_loser_asks_for_a_tombstone_before_it_supersedes)
{
    addSecondAgent();
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), FirstAgent);
    completeAppend();
    reportLast(ActionState::Absent);
    advance(milliseconds { 100 });
    BOOST_TEST(sentCount<QueryAction>() == 1u);
    advance(milliseconds { 200 });
    BOOST_REQUIRE(sentCount<QueryAction>() == 2u);
    BOOST_TEST(std::get<QueryAction>(sent.back().message).seal);
    BOOST_TEST(appends.size() == 1u);
    reportLast(ActionState::Sealed);
    advance(milliseconds { 5 });
    BOOST_REQUIRE(appends.size() == 2u);
    BOOST_TEST((lastClaim().supersedes == ClaimNonce { 77 }));
    BOOST_TEST((lastClaim().agent == SecondAgent));
    completeAppend();
    BOOST_TEST(sentCount<StartAction>() == 1u);
}

BOOST_AUTO_TEST_CASE(a_superseding_claim_that_came_second_is_void)
{
    addSecondAgent();
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), FirstAgent);
    completeAppend();
    reportLast(ActionState::Sealed);
    advance(milliseconds { 5 });
    readForeignClaim(78, lastClaim(), SecondAgent, ClaimNonce { 77 });
    completeAppend();
    BOOST_TEST(sentCount<StartAction>() == 0u);
    BOOST_TEST((sent.back().agent == SecondAgent));
    BOOST_TEST(std::holds_alternative<QueryAction>(sent.back().message));
}

BOOST_AUTO_TEST_CASE(a_report_about_a_replaced_claim_is_ignored)
{
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), FirstAgent);
    completeAppend();
    const SendToAgent firstQuery = sent.back();
    readForeignClaim(78, lastClaim(), SecondAgent, ClaimNonce { 77 });
    auto& query = std::get<QueryAction>(firstQuery.message);
    router.onMessage(
        FirstAgent, ActionReport { query.attempt, query.key, CurrentIncarnation, ActionState::Sealed, {} });
    advance(milliseconds { 5 });
    BOOST_TEST(appends.size() == 1u);
    BOOST_TEST(refused.empty());
}

BOOST_AUTO_TEST_CASE(another_agent_incarnation_makes_the_outcome_unknown)
{
    submitAndBatch(1);
    completeAppend();
    router.onAgentLost(FirstAgent);
    router.onAgentConnected(FirstAgent, Incarnation { 6 });
    collect();
    BOOST_TEST(isLastRefusal(RefusalReason::BackendLost, Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(a_start_lost_with_its_connection_is_settled_by_a_tombstone)
{
    addSecondAgent();
    submitAndBatch(1);
    completeAppend();
    router.onAgentLost(FirstAgent);
    router.onAgentConnected(FirstAgent, CurrentIncarnation);
    collect();
    BOOST_REQUIRE(sentCount<QueryAction>() == 1u);
    BOOST_TEST(std::get<QueryAction>(sent.back().message).seal);
    reportLast(ActionState::Sealed);
    advance(milliseconds { 5 });
    BOOST_REQUIRE(appends.size() == 2u);
    completeAppend();
    BOOST_TEST((sent.back().agent == SecondAgent));
    BOOST_TEST(sentCount<StartAction>() == 2u);
}

BOOST_AUTO_TEST_CASE(a_sent_action_without_a_report_is_unknown_and_an_unsent_one_not_run)
{
    submitAndBatch(1);
    advance(seconds { 11 });
    BOOST_TEST(isLastRefusal(RefusalReason::DeadlineUnreachable, Outcome::NotRun));
    // A late record of the abandoned claim starts nothing.
    completeAppend();
    BOOST_TEST(sent.empty());

    submit(2, keyAt(wallNow(), 2));
    advance(milliseconds { 5 });
    completeAppend();
    BOOST_REQUIRE(sentCount<StartAction>() == 1u);
    advance(seconds { 11 });
    BOOST_TEST(isLastRefusal(RefusalReason::DeadlineUnreachable, Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(without_the_log_actions_are_refused_and_reads_go_on)
{
    submit(1, key);
    router.setLogAvailable(false);
    collect();
    BOOST_TEST(isLastRefusal(RefusalReason::LogUnavailable, Outcome::NotRun));
    BOOST_TEST(refused.back().refusal.retryAfter.has_value());
    submit(2, key);
    BOOST_TEST(isLastRefusal(RefusalReason::LogUnavailable, Outcome::NotRun));
    BOOST_TEST(sent.empty());
    submit(3, IdempotencyKey {});
    BOOST_TEST(sentCount<StartRead>() == 1u);
}

BOOST_AUTO_TEST_CASE(a_claim_that_cannot_be_read_back_is_given_up_at_once)
{
    submitAndBatch(1);
    router.setLogAvailable(false);
    collect();
    BOOST_TEST(refused.empty());
    router.onAppendResult(appends.back().append, AppendResult::Unknown);
    collect();
    BOOST_TEST(isLastRefusal(RefusalReason::LogUnavailable, Outcome::NotRun));

    router.setLogAvailable(true);
    submit(2, keyAt(DayStart, 2));
    advance(milliseconds { 5 });
    router.onAppendResult(appends.back().append, AppendResult::Unknown);
    router.setLogAvailable(false);
    collect();
    BOOST_TEST(refused.size() == 2u);
    // Both claims reached the log after all, but nobody acts on them.
    for (const AppendClaims& append : appends)
        read(append.records.front());
    BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_CASE(keys_too_old_or_from_the_future_are_refused)
{
    submit(1, keyAt(DayStart - minutes { 31 }, 1));
    BOOST_TEST(isLastRefusal(RefusalReason::KeyTooOld, Outcome::NotRun));
    submit(2, keyAt(DayStart + minutes { 2 }, 1));
    BOOST_TEST(isLastRefusal(RefusalReason::KeyFromFuture, Outcome::NotRun));
    submit(3, IdempotencyKey { "no uuid" });
    BOOST_TEST(isLastRefusal(RefusalReason::KeyTooOld, Outcome::NotRun));
    BOOST_TEST(router.openRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(a_short_retention_lowers_the_maximum_age_of_admitted_keys)
{
    ActionRouterSettings shortLived = settings();
    shortLived.claimRetention = minutes { 10 };
    ActionRouter other(shortLived, timers, random, events);
    CallRequest request;
    request.id = RequestId { 1 };
    request.key = keyAt(DayStart - minutes { 9 }, 1);
    request.call.method = "POST";
    request.deadline = timers.now() + seconds { 10 };
    other.submit(request, wallNow());
    auto actions = other.takeActions();
    BOOST_REQUIRE(actions.size() == 1u);
    BOOST_TEST((std::get<RefuseRequest>(actions.front()).refusal.reason == RefusalReason::KeyTooOld));
}

BOOST_AUTO_TEST_CASE(a_gap_within_the_promised_retention_makes_keys_too_old)
{
    submitAndBatch(1);
    read("a foreign record");
    advance(milliseconds { 100 });
    router.onGap(LogOffset { 100 });
    collect();
    BOOST_TEST(isLastRefusal(RefusalReason::KeyTooOld, Outcome::NotRun));
    completeAppend();
    BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_CASE(a_gap_older_than_the_retention_affects_no_admitted_key)
{
    router.onGap(LogOffset { 100 });
    submitAndBatch(1);
    completeAppend();
    BOOST_TEST(sentCount<StartAction>() == 1u);
}

BOOST_AUTO_TEST_CASE(a_draining_agent_gets_no_claimed_action)
{
    addSecondAgent();
    submitAndBatch(1);
    router.onMessage(FirstAgent, Draining {});
    completeAppend();
    BOOST_TEST(sent.empty());
    advance(milliseconds { 5 });
    BOOST_TEST((lastClaim().agent == SecondAgent));
}

BOOST_AUTO_TEST_CASE(a_cancelled_action_is_dropped_unless_it_is_claimed)
{
    submit(1, key);
    router.cancel(RequestId { 1 });
    advance(milliseconds { 5 });
    BOOST_TEST(appends.empty());
    submitAndBatch(2);
    router.cancel(RequestId { 2 });
    completeAppend();
    BOOST_TEST(sentCount<StartAction>() == 1u);
    reportLast(ActionState::Answered);
    BOOST_TEST(finished.empty());
}

BOOST_AUTO_TEST_CASE(reads_are_retried_at_other_agents_within_the_budget)
{
    addSecondAgent();
    submit(1, IdempotencyKey {});
    BOOST_TEST((sent.back().agent == FirstAgent));
    router.onAgentLost(FirstAgent);
    collect();
    BOOST_REQUIRE(sentCount<StartRead>() == 2u);
    BOOST_TEST((sent.back().agent == SecondAgent));
    auto attempt = std::get<StartRead>(sent.back().message).attempt;
    router.onMessage(SecondAgent, ReadAnswered { attempt, {} });
    router.onMessage(SecondAgent, ReadAnswered { attempt, {} });
    collect();
    BOOST_TEST(finished.size() == 1u);
    BOOST_TEST(router.counters().retries == 1u);
}

BOOST_AUTO_TEST_CASE(a_failure_with_no_other_agent_spends_no_retry_budget)
{
    for (std::uint64_t id = 1; id <= 20; ++id) {
        submit(id, IdempotencyKey {});
        router.onAgentLost(FirstAgent);
        collect();
        BOOST_TEST(isLastRefusal(RefusalReason::BackendLost, Outcome::Unknown));
        router.onAgentConnected(FirstAgent, CurrentIncarnation);
    }
    addSecondAgent();
    submit(21, IdempotencyKey {});
    router.onAgentLost(FirstAgent);
    collect();
    BOOST_TEST((sent.back().agent == SecondAgent));
    BOOST_TEST(router.counters().retries == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
