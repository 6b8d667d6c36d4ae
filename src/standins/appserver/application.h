// Fake application server with non-idempotent actions that counts how often each of them ran.
#pragma once

#include "../common/control_port.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace peridotgrade::standins {

/// Delays and injected faults; all of them can be changed through the control port at run time.
struct ApplicationSettings {
    /// Delay of each request before it takes effect.
    std::uint64_t delayMs = 0;
    /// Delay between an action's effect and its response.
    std::uint64_t answerDelayMs = 0;
    /// Number of upcoming actions that run but whose connection is closed without a response.
    std::uint64_t loseAnswers = 0;
    /// Number of upcoming requests whose connection is closed before they run.
    std::uint64_t dropCalls = 0;
    /// Number of upcoming requests that get status 500 without running.
    std::uint64_t failCalls = 0;
    /// Fraction of actions whose response is lost.
    double lostAnswerShare = 0;
};

/// Answers reads and runs an action on every request. It does not deduplicate requests itself, so that its
/// counters show whether the product does. Not thread safe.
class Application {
public:
    Application(std::uint64_t seed, ApplicationSettings settings);

    void addSwitches(ControlPort& control);
    /// `{"reads":n,"actions":n,"runs":{"key":n}}`
    boost::json::object counts() const;

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    HttpResponse read(const HttpRequest& request);
    HttpResponse runAction(const HttpRequest& request);
    bool shouldLoseAnswer();

    ApplicationSettings settings;
    std::mt19937_64 random;
    std::uint64_t reads = 0;
    std::uint64_t actions = 0;
    /// Number of times that the action of each Idempotency-Key ran.
    std::map<std::string, std::uint64_t> runs;
};

} // namespace peridotgrade::standins
