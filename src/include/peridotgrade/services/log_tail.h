// Follows one stream of the log.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/services/log_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotgrade {

/// Takes what a LogTail reads. Called on the tail's executor, never after its `stop`.
class LogTailListener {
public:
    virtual ~LogTailListener() = default;

    /// Records in order of offset, without a hole since the last batch or gap.
    virtual void onLogRecords(std::vector<LogRecord> records) = 0;
    /// Everything up to `next` has been handed over; all that was appended before `readBegan` is in it.
    virtual void onLogCaughtUp(LogOffset oldest, LogOffset next, TimePoint readBegan) = 0;
    /// Records from the last one handed over up to `oldest` are not kept any more and were not seen.
    virtual void onLogGap(LogOffset oldest) = 0;
    /// False when reads begin to fail, true when one succeeds again, and on the first success.
    virtual void onLogAvailability(bool isAvailable) = 0;
};

/// Reads a stream with long polls for as long as it lives, from a given offset on, and waits with backoff
/// while the log is out of reach.
class LogTail {
public:
    /// `seed` spreads the retries of many processes.
    LogTail(boost::asio::any_io_executor executor, Endpoint platform, std::string stream, LogOffset from,
        std::uint64_t seed, LogTailListener& listener);
    ~LogTail();
    LogTail(const LogTail&) = delete;
    LogTail& operator=(const LogTail&) = delete;

    void start();
    /// Ends the tail; the listener is not called any more.
    void stop();
    /// Goes on from `from`, if that is ahead: a peer's snapshot made the records before it needless.
    void skipTo(LogOffset from);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
