// Tests of fair shares: three workspaces overload one service; unused shares are lent and returned.
#include "peridotgrade/core/admission/fair_share_limiter.h"
#include "peridotgrade/core/base/random_source.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <queue>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workspaces = 3;
constexpr std::uint32_t ServerConcurrency = 60;

struct RunningRequest {
    TimePoint end;
    std::size_t workspace = 0;
    friend bool operator>(const RunningRequest& one, const RunningRequest& other)
    {
        return one.end > other.end;
    }
};

/// A service with a fixed concurrency, overloaded through one entry shard.
struct OverloadFixture {
    OverloadFixture()
    {
        const std::array<double, Workspaces> weights { 1, 1, 2 };
        for (std::size_t i = 0; i < Workspaces; ++i) {
            this->workspaces[i].id = idOf(i);
            this->workspaces[i].share = weights[i];
        }
    }

    static WorkspaceId idOf(std::size_t index)
    {
        return WorkspaceId { std::string(1, 'a' + static_cast<char>(index)) };
    }

    /// Sends requests of each workspace at `rates` (per second) for `time` and returns the number answered.
    std::array<double, Workspaces> run(std::array<double, Workspaces> rates, Duration time)
    {
        std::array<double, Workspaces> answered {};
        constexpr Duration Step = 1ms;
        for (TimePoint end = this->now + time; this->now < end; this->now += Step) {
            while (!this->running.empty() && this->running.top().end <= this->now) {
                answered[this->running.top().workspace] += 1;
                this->limiter.finished({ idOf(this->running.top().workspace), "m" }, false, this->now);
                this->running.pop();
            }
            for (std::size_t i = 0; i < Workspaces; ++i) {
                if (this->random.unit() < rates[i] * 0.001)
                    this->sendRequest(i);
            }
        }
        return answered;
    }

    void sendRequest(std::size_t index)
    {
        auto result = this->limiter.admit(this->workspaces[index], "m", this->now);
        if (std::holds_alternative<Refusal>(result)) {
            ++this->refusedByLimiter;
            return;
        }
        if (this->running.size() >= ServerConcurrency) {
            ++this->refusedByServer;
            this->limiter.finished(std::get<AdmissionTicket>(result), true, this->now);
            return;
        }
        Duration length = std::chrono::milliseconds { 500 + this->random.below(1'000) };
        this->running.push({ this->now + length, index });
    }

    RandomSource random { 7 };
    TimePoint now { 1s };
    std::array<Workspace, Workspaces> workspaces;
    FairShareLimiter limiter;
    std::priority_queue<RunningRequest, std::vector<RunningRequest>, std::greater<>> running;
    std::size_t refusedByLimiter = 0;
    std::size_t refusedByServer = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fair_share_limiter, OverloadFixture)

BOOST_AUTO_TEST_CASE(three_workspaces_that_overload_a_service_get_their_shares)
{
    this->run({ 100, 100, 100 }, 20s);
    auto answered = this->run({ 100, 100, 100 }, 60s);
    double sum = answered[0] + answered[1] + answered[2];
    BOOST_TEST_MESSAGE("answered " << answered[0] << " " << answered[1] << " " << answered[2]
                                   << ", refused here " << this->refusedByLimiter << ", by the server "
                                   << this->refusedByServer);
    // A concurrency of 60 and a mean duration of 1 s allow 60 answers per second.
    BOOST_TEST(sum > 0.9 * 60 * 60);
    BOOST_TEST(answered[0] / sum > 0.22);
    BOOST_TEST(answered[0] / sum < 0.28);
    BOOST_TEST(answered[1] / sum > 0.22);
    BOOST_TEST(answered[2] / sum > 0.45);
    BOOST_TEST(answered[2] / sum < 0.55);
    BOOST_TEST(this->refusedByServer < this->refusedByLimiter / 10);
}

BOOST_AUTO_TEST_CASE(an_unused_share_is_lent_and_returned)
{
    this->run({ 100, 100, 0 }, 20s);
    auto lent = this->run({ 100, 100, 0 }, 30s);
    BOOST_TEST(lent[0] + lent[1] > 0.9 * 60 * 30);
    this->run({ 100, 100, 100 }, 5s);
    auto returned = this->run({ 100, 100, 100 }, 30s);
    BOOST_TEST(returned[2] / (returned[0] + returned[1] + returned[2]) > 0.45);
}

BOOST_AUTO_TEST_CASE(a_small_demand_is_fully_served_beside_large_ones)
{
    this->run({ 5, 100, 100 }, 20s);
    auto answered = this->run({ 5, 100, 100 }, 60s);
    BOOST_TEST(answered[0] > 0.9 * 5 * 60);
}

BOOST_AUTO_TEST_CASE(refusal_with_nothing_in_flight_sets_no_limit)
{
    FairShareLimiter limiter;
    Workspace workspace;
    workspace.id = WorkspaceId { "a" };
    TimePoint now { 1s };
    auto first = limiter.admit(workspace, "m", now);
    limiter.finished(std::get<AdmissionTicket>(first), true, now);
    BOOST_TEST(!limiter.concurrencyLimit("m").has_value());
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(std::holds_alternative<AdmissionTicket>(limiter.admit(workspace, "m", now)));
}

BOOST_AUTO_TEST_SUITE_END()
