// Tests of single failures of entries, agents and the log at each step of an action.
#include "action_scenario.h"

using namespace peridotgrade;
using namespace peridotgrade::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(action_cases, ActionScenario)

BOOST_AUTO_TEST_CASE(one_key_at_two_entries_at_once_runs_once_and_both_get_the_answer)
{
    submit(0, 1);
    submit(1, 2);
    advance(milliseconds { 10 });
    BOOST_TEST(effects == 1);
    BOOST_TEST(answerOf(1) == "effect 1");
    BOOST_TEST(answerOf(2) == "effect 1");
}

BOOST_AUTO_TEST_CASE(entry_killed_before_the_append_leaves_the_key_to_another_entry)
{
    submit(0, 1);
    killEntry(0);
    submit(1, 2);
    advance(milliseconds { 10 });
    BOOST_TEST(effects == 1);
    BOOST_TEST(isAnswered(2));
}

BOOST_AUTO_TEST_CASE(entry_killed_after_the_append_has_its_claim_superseded)
{
    areMessagesHeld = true;
    submit(0, 1);
    advance(milliseconds { 10 });
    killEntry(0);
    submit(1, 2);
    BOOST_TEST(effects == 0);
    // The other entry waits for the claim's owner, gets a tombstone, and claims the key for the other agent.
    advance(seconds { 1 });
    advance(seconds { 1 });
    BOOST_TEST(effects == 1);
    BOOST_TEST(isAnswered(2));
}

BOOST_AUTO_TEST_CASE(lost_append_acknowledgement_is_settled_by_reading)
{
    appendResult = AppendResult::Unknown;
    submit(0, 1);
    advance(milliseconds { 10 });
    BOOST_TEST(effects == 1);
    BOOST_TEST(isAnswered(1));
}

BOOST_AUTO_TEST_CASE(entry_killed_after_sending_lets_a_repeat_get_the_answer)
{
    areCallsHeld = true;
    submit(0, 1);
    advance(milliseconds { 10 });
    killEntry(0);
    submit(1, 2);
    advance(milliseconds { 500 });
    finishCalls();
    BOOST_TEST(effects == 1);
    BOOST_TEST(answerOf(2) == "effect 1");
}

BOOST_AUTO_TEST_CASE(entry_restarted_after_a_lost_answer_gets_the_cached_one)
{
    areAnswersLost = true;
    submit(0, 1);
    advance(milliseconds { 10 });
    killEntry(0);
    areAnswersLost = false;
    startEntry(0);
    submit(0, 2);
    advance(milliseconds { 10 });
    BOOST_TEST(effects == 1);
    BOOST_TEST(answerOf(2) == "effect 1");
}

BOOST_AUTO_TEST_CASE(agent_restarted_before_the_start_reached_it_means_unknown)
{
    setCandidates({ 0 });
    areMessagesHeld = true;
    submit(0, 1);
    advance(milliseconds { 10 });
    setCandidates({ 0, 1 });
    restartAgent(0);
    // The start was sent before the restart, so it is unknown whether the action ran.
    BOOST_TEST(isRefusedWith(1, Outcome::Unknown));
    releaseMessages();
    BOOST_TEST(effects == 0);
}

BOOST_AUTO_TEST_CASE(agent_killed_after_it_started_makes_every_repeat_unknown)
{
    setCandidates({ 0 });
    areCallsHeld = true;
    submit(0, 1);
    advance(milliseconds { 10 });
    BOOST_TEST(effects == 1);
    setCandidates({ 0, 1 });
    restartAgent(0);
    BOOST_TEST(isRefusedWith(1, Outcome::Unknown));
    submit(1, 2);
    submit(0, 3);
    advance(seconds { 1 });
    BOOST_TEST(isRefusedWith(2, Outcome::Unknown));
    BOOST_TEST(isRefusedWith(3, Outcome::Unknown));
    BOOST_TEST(effects == 1);
}

BOOST_AUTO_TEST_CASE(acknowledged_but_unstored_claim_is_not_run_and_a_repeat_runs)
{
    setCandidates({ 0 });
    areAppendsStored = false;
    submit(0, 1);
    advance(milliseconds { 10 });
    BOOST_TEST(effects == 0);
    setCandidates({ 0, 1 });
    restartAgent(0);
    areAppendsStored = true;
    // The first claim never reached the log: a repeat at the other entry runs, and the first is not run.
    submit(1, 2);
    advance(milliseconds { 10 });
    BOOST_TEST(isAnswered(2));
    advance(seconds { 10 });
    BOOST_TEST(isRefusedWith(1, Outcome::NotRun));
    BOOST_TEST(effects == 1);
}

BOOST_AUTO_TEST_CASE(start_delayed_beyond_the_key_retention_runs_nothing)
{
    areMessagesHeld = true;
    submit(0, 1);
    advance(milliseconds { 10 });
    submit(1, 2);
    advance(seconds { 1 });
    advance(seconds { 1 });
    BOOST_TEST(effects == 1);
    BOOST_TEST(isAnswered(2));
    // By now the agents have forgotten the key, and refuse it for its creation time alone.
    advance(minutes { 50 });
    releaseMessages();
    BOOST_TEST(effects == 1);
}

BOOST_AUTO_TEST_CASE(log_that_stores_and_acknowledges_nothing_means_not_run)
{
    areAppendsStored = false;
    appendResult = AppendResult::Unknown;
    submit(0, 1);
    advance(seconds { 6 });
    BOOST_TEST(isRefusedWith(1, Outcome::NotRun));
    BOOST_TEST(refusalOf(1).retryAfter.has_value());
    BOOST_TEST(effects == 0);
}

BOOST_AUTO_TEST_CASE(empty_vm_list_means_not_run)
{
    setCandidates({});
    submit(0, 1);
    BOOST_TEST(isRefusedWith(1, Outcome::NotRun));
    BOOST_TEST(effects == 0);
}

BOOST_AUTO_TEST_SUITE_END()
