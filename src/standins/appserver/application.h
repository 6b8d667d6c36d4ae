// An application whose actions may not be repeated, and which counts how often each ran.
#pragma once

#include "../common/control_port.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace peridotgrade::standins {

/// Faults and delays; all may be changed while it runs.
struct ApplicationSettings {
    /// How long each call takes before its effect.
    std::uint64_t delayMs = 0;
    /// Wait between an action's effect and its answer.
    std::uint64_t answerDelayMs = 0;
    /// That many actions to come run, and their connection closes without an answer.
    std::uint64_t loseAnswers = 0;
    /// That many calls to come close their connection before they run.
    std::uint64_t dropCalls = 0;
    /// That many calls to come get status 500 without running.
    std::uint64_t failCalls = 0;
    /// Share of actions whose answer is lost.
    double lostAnswerShare = 0;
};

/// Answers reads, and runs an action each time that it is asked to: it guards nothing by itself, so that its
/// counts show whether the product does. Not thread safe.
class Application {
public:
    Application(std::uint64_t seed, ApplicationSettings settings);

    void addSwitches(ControlPort& control);
    /// `{"reads":n,"actions":n,"runs":{"key":n}}`
    boost::json::object counts() const;

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    HttpResponse read(const HttpRequest& request);
    HttpResponse act(const HttpRequest& request);
    bool losesAnswer();

    ApplicationSettings settings;
    std::mt19937_64 random;
    std::uint64_t reads = 0;
    std::uint64_t actions = 0;
    /// How often the action of each Idempotency-Key ran.
    std::map<std::string, std::uint64_t> runs;
};

} // namespace peridotgrade::standins
