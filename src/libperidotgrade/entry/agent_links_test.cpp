// Tests of AgentLinks with scripted results of connection attempts.
#include "agent_links.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <variant>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

class IdleConnection final : public FrameConnection {
public:
    void start(FrameHandlers) override { }
    bool send(std::string_view) override { return true; }
    void close() override { }
    FrameTraffic traffic() const override { return {}; }
};

/// Links to one agent; the executor never runs, so that no real connection is attempted.
struct LinksFixture {
    LinksFixture()
        : random(7)
        , links(context.get_executor(), FrameSettings {}, timers, random)
    {
        VmRecord vm;
        vm.name = this->agent.raw();
        vm.address = "127.0.0.1:1";
        this->links.setTargets({ vm });
        this->current = LinkId { 1 };
    }

    /// The current attempt is accepted.
    void connect()
    {
        ConnectResult accepted { std::shared_ptr<FrameConnection> { std::make_shared<IdleConnection>() } };
        bool isCurrent = this->links.onConnectEnded(this->agent, this->current, std::move(accepted));
        BOOST_REQUIRE(isCurrent);
    }

    /// The current attempt or connection ends. Returns the delay before the next attempt, which is made.
    template <typename End> Duration delayAfter(End end)
    {
        end();
        auto due = this->timers.nextDue();
        BOOST_REQUIRE(due.has_value());
        Duration delay = *due - this->timers.now();
        this->timers.advance(*due);
        this->current = LinkId { this->current.raw() + 1 };
        return delay;
    }

    Duration delayAfterClose()
    {
        return this->delayAfter([&] { BOOST_REQUIRE(this->links.onClosed(this->agent, this->current)); });
    }

    const AgentId agent { "agent-1" };
    boost::asio::io_context context;
    TimerService timers;
    RandomSource random;
    AgentLinks links;
    LinkId current;
};

constexpr int Rounds = 20;
// The upper half of the initial delay, and that of the longest one.
constexpr std::chrono::milliseconds MaxInitialDelay { 50 };
constexpr std::chrono::milliseconds MinLongestDelay { 1000 };

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_links, LinksFixture)

BOOST_AUTO_TEST_CASE(reconnects_back_off_while_an_agent_accepts_connections_and_sends_nothing)
{
    Duration delay {};
    for (int round = 0; round < Rounds; ++round) {
        this->connect();
        delay = this->delayAfterClose();
    }
    BOOST_TEST((delay >= MinLongestDelay));
}

BOOST_AUTO_TEST_CASE(reconnects_are_fast_again_after_a_frame_of_the_agent)
{
    for (int round = 0; round < Rounds; ++round) {
        this->delayAfter([&] {
            this->links.onConnectEnded(
                this->agent, this->current, NetError { NetErrorKind::ConnectFailed, false, "refused" });
        });
    }
    this->connect();
    this->links.noteFrame(this->agent);
    BOOST_TEST((this->delayAfterClose() <= MaxInitialDelay));
}

BOOST_AUTO_TEST_SUITE_END()
