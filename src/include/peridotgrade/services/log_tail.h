// Follows one stream of the log by long polling.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/services/log_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridotgrade {

/// Receives what a LogTail reads. Called on the tail's executor, never after its `stop`.
class LogTailListener {
public:
    virtual ~LogTailListener() = default;

    /// Records in offset order, with none missing since the last batch or gap.
    virtual void onLogRecords(std::vector<LogRecord> records) = 0;
    /// All records before `next` have been delivered, including everything appended before `readBegan`.
    virtual void onLogCaughtUp(LogOffset oldest, LogOffset next, TimePoint readBegan) = 0;
    /// The log has dropped the undelivered records before `oldest`.
    virtual void onLogGap(LogOffset oldest) = 0;
    /// Called with false when reads start to fail, and with true on the first success and on recovery.
    virtual void onLogAvailability(bool isAvailable) = 0;
};

/// Reads a stream with long polls from a given offset until it is stopped, and retries with backoff while the
/// log is unreachable.
class LogTail {
public:
    /// `seed` seeds the jitter that spreads the retries of many processes.
    LogTail(boost::asio::any_io_executor executor, Endpoint platform, std::string stream, LogOffset from,
        std::uint64_t seed, LogTailListener& listener);
    ~LogTail();
    LogTail(const LogTail&) = delete;
    LogTail& operator=(const LogTail&) = delete;

    void start();
    /// Stops reading; the listener is not called again.
    void stop();
    /// Continues at `from` if that is ahead, because a peer's snapshot covers the records before it.
    void skipTo(LogOffset from);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
