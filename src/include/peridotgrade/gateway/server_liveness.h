// Finds out whether the process that sent an answer still runs after the answer's end.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "platform/server_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// What is known of a process at a moment after the end of an answer.
enum class Liveness : std::uint8_t {
    /// It has answered a call that was sent after the end of the answer, or kept a connection open that its
    /// end would have closed.
    Alive,
    /// Nothing listens at its address any more, or another process does.
    Ended,
    /// It has closed, beside the connection of the answer, one that it had no reason to close.
    Closing,
    /// It has not answered in time.
    Unknown,
};

std::string_view nameOf(Liveness liveness);

struct LivenessCheck {
    Liveness liveness = Liveness::Unknown;
    /// Other answers that ended shortly before share the result.
    bool isShared = false;
    /// A connection was kept open from before the end of the answer.
    bool wasWatched = false;
};

/// Watches one incarnation of a server while answers of it are received whose end only the end of their
/// connection marks. When a process ends, its system closes its connections in an orderly way, one after the
/// other and its listening socket at any place among them, so neither that end nor an accepted connection
/// shows that an answer is complete. What shows it is an answer of that process to a call that was sent
/// afterwards. A process may also close its connections while it still runs and listens; to notice that, a
/// further connection to it is kept open meanwhile, which also serves if the process is slow to answer. Not
/// thread safe.
class ServerLiveness : public std::enable_shared_from_this<ServerLiveness> {
public:
    /// When the server may be called; nothing if it may be called now.
    using ClosedUntil = std::function<std::optional<TimePoint>()>;

    ServerLiveness(boost::asio::any_io_executor executor, std::shared_ptr<ServerClient> client,
        std::string healthPath, ClosedUntil closedUntil);

    const ServerRecord& record() const { return this->client->record(); }
    /// Keeps a connection open as long as this object lives.
    void start();
    /// To be called at the end of an answer. Waits for the server's answer for at most `timeout`.
    boost::asio::awaitable<LivenessCheck> check(Duration timeout);

private:
    struct Round;

    static boost::asio::awaitable<void> keepConnection(std::weak_ptr<ServerLiveness> watched);
    boost::asio::awaitable<void> openConnection();
    static boost::asio::awaitable<void> runRound(
        std::shared_ptr<ServerLiveness> self, std::shared_ptr<Round> round);
    boost::asio::awaitable<Liveness> ask(const Round& round);
    void lookAtConnection();
    /// The server has closed the kept connection since about the time at which the answers of a round ended.
    bool hasClosedSince(const Round& round);
    /// The kept connection is open and was so before the answers of a round ended.
    bool isWatched(const Round& round) const;

    const boost::asio::any_io_executor executor;
    const std::shared_ptr<ServerClient> client;
    const std::string healthPath;
    const ClosedUntil closedUntil;
    /// Open when it was last looked at. Carries no call.
    std::shared_ptr<StatusConnection> connection;
    TimePoint openedAt {};
    TimePoint nextOpenAt {};
    /// When the server was last found to have closed the kept connection.
    std::optional<TimePoint> closedAt;
    /// The latest call and those that wait for it.
    std::shared_ptr<Round> latest;
};

} // namespace peridotgrade
