// The fake platform's log service over HTTP, with configurable limits and injected faults.
#pragma once

#include "log_stream.h"

#include "../common/control_port.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace peridotgrade::standins {

/// Limits and injected faults; all of them can be changed through the control port at run time.
struct LogSettings {
    std::uint32_t appendsPerSecond = 300;
    std::uint64_t retentionMs = 60 * 60 * 1000;
    /// Delay of each request before it takes effect.
    std::uint64_t slowMs = 0;
    /// Requests are answered with status 503.
    bool isDown = false;
    /// Connections are closed without a response, and the request has no effect.
    bool isUnreachable = false;
    /// Number of upcoming appends that take effect but whose response is lost.
    std::uint64_t loseAnswers = 0;
    /// Fraction of all appends that take effect but whose response is lost.
    double lostAnswerShare = 0;
};

/// Serves `/log/STREAM/records`. Not thread safe.
class LogService {
public:
    LogService(std::uint64_t seed, LogSettings settings);

    void addSwitches(ControlPort& control);
    void addCounts(boost::json::object& counts) const;

    boost::asio::awaitable<void> serve(HttpExchange& exchange, std::string stream);

private:
    boost::asio::awaitable<void> append(HttpExchange& exchange, std::string stream);
    boost::asio::awaitable<void> read(HttpExchange& exchange, std::string stream);
    bool takeAppendPermit();
    bool shouldLoseAnswer();
    HttpResponse page(const LogStream& stream, std::uint64_t from, std::uint64_t limit) const;

    LogSettings settings;
    std::mt19937_64 random;
    std::map<std::string, LogStream> streams;
    double permits = 0;
    StandinClock::time_point permitsRefilledAt;
    std::uint64_t appends = 0;
    std::uint64_t refused = 0;
    std::uint64_t answersLost = 0;
};

} // namespace peridotgrade::standins
