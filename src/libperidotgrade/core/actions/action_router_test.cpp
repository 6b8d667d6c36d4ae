// Tests of the entry's side of application calls, one decision at a time.
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

BOOST_AUTO_TEST_CASE(the_same_key_here_shares_one_claim_and_other_content_is_refused)
{
    submit(1, key);
    submit(2, key);
    submit(3, key, "something else");
    BOOST_TEST(isLastRefusal(RefusalReason::KeyConflict, Outcome::NotRun));
    advance(milliseconds { 5 });
    BOOST_TEST(appends.back().records.size() == 1u);
    settleAppend();
    reportLast(ActionState::Answered, "done");
    BOOST_TEST(finished.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_of_the_append_is_settled_by_reading)
{
    submitAndBatch(1);
    router.onAppendResult(appends.back().append, AppendResult::Unknown);
    read(appends.back().records.front());
    BOOST_TEST(sentCount<StartAction>() == 1u);
    // The second copy of the claim, from a log that took it twice, is void.
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

BOOST_AUTO_TEST_CASE(the_loser_asks_the_winners_agent_and_gives_its_answer)
{
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), First);
    settleAppend();
    BOOST_TEST(sentCount<StartAction>() == 0u);
    BOOST_REQUIRE(sentCount<QueryAction>() == 1u);
    reportLast(ActionState::Running);
    reportLast(ActionState::Answered, "first one's");
    BOOST_REQUIRE(finished.size() == 1u);
    BOOST_TEST(finished.back().answer.body == "first one's");
}

BOOST_AUTO_TEST_CASE(the_loser_seals_before_it_supersedes)
{
    addSecond();
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), First);
    settleAppend();
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
    BOOST_TEST((lastClaim().agent == Second));
    settleAppend();
    BOOST_TEST(sentCount<StartAction>() == 1u);
}

BOOST_AUTO_TEST_CASE(a_superseding_claim_that_came_second_is_void)
{
    addSecond();
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), First);
    settleAppend();
    reportLast(ActionState::Sealed);
    advance(milliseconds { 5 });
    readForeignClaim(78, lastClaim(), Second, ClaimNonce { 77 });
    settleAppend();
    BOOST_TEST(sentCount<StartAction>() == 0u);
    BOOST_TEST((sent.back().agent == Second));
    BOOST_TEST(std::holds_alternative<QueryAction>(sent.back().message));
}

BOOST_AUTO_TEST_CASE(the_word_of_a_replaced_claims_agent_says_nothing_of_the_new_claim)
{
    submitAndBatch(1);
    readForeignClaim(77, lastClaim(), First);
    settleAppend();
    const SendToAgent question = sent.back();
    readForeignClaim(78, lastClaim(), Second, ClaimNonce { 77 });
    auto& query = std::get<QueryAction>(question.message);
    router.onMessage(First, ActionReport { query.attempt, query.key, Run, ActionState::Sealed, {} });
    advance(milliseconds { 5 });
    BOOST_TEST(appends.size() == 1u);
    BOOST_TEST(refused.empty());
}

BOOST_AUTO_TEST_CASE(another_run_of_the_agent_makes_the_outcome_unknown)
{
    submitAndBatch(1);
    settleAppend();
    router.onAgentLost(First);
    router.onAgentConnected(First, Incarnation { 6 });
    collect();
    BOOST_TEST(isLastRefusal(RefusalReason::BackendLost, Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(a_start_lost_with_its_connection_is_settled_by_sealing)
{
    addSecond();
    submitAndBatch(1);
    settleAppend();
    router.onAgentLost(First);
    router.onAgentConnected(First, Run);
    collect();
    BOOST_REQUIRE(sentCount<QueryAction>() == 1u);
    BOOST_TEST(std::get<QueryAction>(sent.back().message).seal);
    reportLast(ActionState::Sealed);
    advance(milliseconds { 5 });
    BOOST_REQUIRE(appends.size() == 2u);
    settleAppend();
    BOOST_TEST((sent.back().agent == Second));
    BOOST_TEST(sentCount<StartAction>() == 2u);
}

BOOST_AUTO_TEST_CASE(a_sent_action_without_word_is_unknown_an_unsent_one_not_run)
{
    submitAndBatch(1);
    advance(seconds { 11 });
    BOOST_TEST(isLastRefusal(RefusalReason::DeadlineUnreachable, Outcome::NotRun));
    // The late record of the given-up claim starts nothing.
    settleAppend();
    BOOST_TEST(sent.empty());

    submit(2, keyAt(wallNow(), 2));
    advance(milliseconds { 5 });
    settleAppend();
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

BOOST_AUTO_TEST_CASE(a_short_retention_lowers_the_age_of_keys_that_are_taken)
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

BOOST_AUTO_TEST_CASE(a_log_that_keeps_less_than_promised_makes_keys_too_old)
{
    submitAndBatch(1);
    read("a foreign record");
    advance(milliseconds { 100 });
    router.onGap(LogOffset { 100 });
    collect();
    BOOST_TEST(isLastRefusal(RefusalReason::KeyTooOld, Outcome::NotRun));
    settleAppend();
    BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_CASE(a_gap_as_old_as_promised_concerns_no_admitted_key)
{
    router.onGap(LogOffset { 100 });
    submitAndBatch(1);
    settleAppend();
    BOOST_TEST(sentCount<StartAction>() == 1u);
}

BOOST_AUTO_TEST_CASE(a_draining_agent_gets_no_claimed_action)
{
    addSecond();
    submitAndBatch(1);
    router.onMessage(First, Draining {});
    settleAppend();
    BOOST_TEST(sent.empty());
    advance(milliseconds { 5 });
    BOOST_TEST((lastClaim().agent == Second));
}

BOOST_AUTO_TEST_CASE(a_cancelled_action_is_dropped_unless_it_is_claimed)
{
    submit(1, key);
    router.cancel(RequestId { 1 });
    advance(milliseconds { 5 });
    BOOST_TEST(appends.empty());
    submitAndBatch(2);
    router.cancel(RequestId { 2 });
    settleAppend();
    BOOST_TEST(sentCount<StartAction>() == 1u);
    reportLast(ActionState::Answered);
    BOOST_TEST(finished.empty());
}

BOOST_AUTO_TEST_CASE(reads_are_tried_elsewhere_within_the_budget)
{
    addSecond();
    submit(1, IdempotencyKey {});
    BOOST_TEST((sent.back().agent == First));
    router.onAgentLost(First);
    collect();
    BOOST_REQUIRE(sentCount<StartRead>() == 2u);
    BOOST_TEST((sent.back().agent == Second));
    auto attempt = std::get<StartRead>(sent.back().message).attempt;
    router.onMessage(Second, ReadAnswered { attempt, {} });
    router.onMessage(Second, ReadAnswered { attempt, {} });
    collect();
    BOOST_TEST(finished.size() == 1u);
    BOOST_TEST(router.counters().retries == 1u);
}

BOOST_AUTO_TEST_CASE(a_failure_with_no_other_server_spends_no_budget)
{
    for (std::uint64_t id = 1; id <= 20; ++id) {
        submit(id, IdempotencyKey {});
        router.onAgentLost(First);
        collect();
        BOOST_TEST(isLastRefusal(RefusalReason::BackendLost, Outcome::Unknown));
        router.onAgentConnected(First, Run);
    }
    addSecond();
    submit(21, IdempotencyKey {});
    router.onAgentLost(First);
    collect();
    BOOST_TEST((sent.back().agent == Second));
    BOOST_TEST(router.counters().retries == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
