// Finds out whether the process that sent an answer goes on serving after the answer's end.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/answer_ends.h"
#include "platform/server_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// What is known of a process some time after the end of an answer.
enum class Liveness : std::uint8_t {
    /// It has answered a call that was sent then, or is as slow to answer it as it was before.
    Alive,
    /// It has ended since, and has shown before that it went on after the answer: its own end did not cut it.
    EndedLater,
    /// It has answered a call that was sent after the end of the answer, and none since; its connections are
    /// open, as a process that is paused or gets no processor leaves them.
    Silent,
    /// Nothing listens at its address any more, or another process does.
    Ended,
    /// It has closed a connection that it had no reason to close.
    Closing,
    /// It has answered, and its address refuses new connections: it is being stopped, and may have cut its
    /// answers.
    NotListening,
    /// It has not answered in time.
    Unknown,
};

std::string_view nameOf(Liveness liveness);

struct LivenessCheck {
    Liveness liveness = Liveness::Unknown;
    /// A connection to the process had been kept from before the end of the answer.
    bool wasWatched = false;
    /// From the end of the answer to the latest call that the process has answered; nothing if it has
    /// answered none that was sent after that end.
    std::optional<Duration> answeredAfter;
    /// From the end of the answer to the latest end of a connection that the server had no reason to close;
    /// negative if that came first.
    std::optional<Duration> closedAfter;
    /// From the end of the answer to the call that the process has not answered yet.
    std::optional<Duration> waitingAfter;
};

/// Watches one incarnation of a server while answers of it are received whose end only the end of their
/// connection marks. When a process ends, its system closes its connections in an orderly way, one after the
/// other and its listening socket at any place among them, so neither that end nor an accepted connection
/// shows that an answer is complete. A process that is being stopped may close its connections one by one
/// while it still answers others. What shows that it goes on is its answer to a call that was sent some time
/// after the end of the answer, on a connection that was open before that end, and that its address accepts
/// connections afterwards. Such a connection is kept
/// while answers are received, and used often enough not to be closed as idle; where the server closes it
/// after each call, the next one is opened at once. If none was kept, the call has to be sent later.
///
/// A process may end sooner than that after a whole answer. Its end runs no code of it, so an answer to a
/// call that was sent after the end of the answer shows that these two ends are not one. What remains is a
/// process that closes its connections itself in order to stop. Such a process goes on for some time, so that
/// its address still accepts connections after the kept one has been closed; or it had stopped listening
/// before; or it has ended several answers in close succession. Where none of these shows, the answer is
/// complete. Nor does any where a process that has answered such a call falls silent and all its connections
/// stay open. Not thread safe.
class ServerLiveness : public std::enable_shared_from_this<ServerLiveness> {
public:
    /// Time for the first connection, which is opened when the head of an answer arrives.
    static constexpr std::chrono::milliseconds NewConnectionAllowance { 50 };

    struct CallRules {
        /// When the server may be called; nothing if it may be called now.
        std::function<std::optional<TimePoint>()> closedUntil;
        /// The server takes few calls.
        std::function<bool()> isLimited;
    };

    ServerLiveness(boost::asio::any_io_executor executor, std::shared_ptr<ServerClient> client,
        std::string healthPath, CallRules rules);

    const ServerRecord& record() const { return this->client->record(); }
    /// Calls the server from now on, as long as this object lives.
    void start();
    /// To be called at the end of an answer. A call is sent at once, in case the process ends soon. The call
    /// that decides otherwise is sent `settleTime` later, or later than that if no connection was kept; the
    /// result is there after at most `timeout`. After answers that are no
    /// longer than `newConnectionAllowance` a connection that the process has not answered on counts as kept.
    boost::asio::awaitable<LivenessCheck> check(
        Duration settleTime, Duration timeout, Duration newConnectionAllowance);

private:
    using Self = std::shared_ptr<ServerLiveness>;

    /// A kept connection that has ended unannounced. Its cause is open until the address has been asked.
    struct Loss {
        /// When it was last seen open, and when it was seen to have ended.
        TimePoint openAt;
        TimePoint noticedAt;
        std::optional<TimePoint> keptSince;
    };

    static boost::asio::awaitable<void> keepCalling(std::weak_ptr<ServerLiveness> watched);
    /// Looks at the connection, opens one, or calls, as is due. Does nothing while another step is taken.
    static boost::asio::awaitable<void> takeStep(Self self);
    static boost::asio::awaitable<void> probeListener(Self self);
    void lookAtConnection();
    bool mayCall() const { return !this->hasEnded && !this->rules.closedUntil(); }
    bool isCallDue(TimePoint now) const;
    boost::asio::awaitable<void> callServer();
    /// With `isContinued`, the connection before was kept until the server closed it as announced.
    boost::asio::awaitable<void> openConnection(bool isContinued);
    /// To be called when the server has closed the connection as announced.
    boost::asio::awaitable<void> continueOnNextConnection();
    /// The address has accepted a connection attempt that began then.
    void noteAccepted(TimePoint began);
    Duration renewalInterval() const;
    /// The connection has ended unannounced; the server could have used it until `usableAt`.
    void noteLost(bool isPeerClosed, TimePoint usableAt);
    void noteSpareLost(bool isPeerClosed);
    void noteLoss();
    /// Between attempts to open a connection.
    Duration reopenInterval() const;
    /// Nothing listens at the address any more, or another process does.
    void noteEnded();
    /// True once the process must have closed the connection, since its system would have closed all else
    /// too.
    bool isClosedByProcess(const Loss& loss, TimePoint now) const;
    void noteClosedByProcess();
    /// The process has ended, and its address had accepted a connection after the end of the answer.
    bool hasEndedListening(TimePoint endedAt) const;
    /// Waits for the end of a process whose address refuses connections: true if it had listened until then.
    boost::asio::awaitable<bool> endsSoon(TimePoint endedAt);
    /// The process had gone on after the end of the answer when it ended.
    bool hasEndedLater(TimePoint endedAt) const;
    void removeWantedCall(TimePoint due);
    /// Nothing while the server may still answer a call that was sent at `due` or later.
    std::optional<Liveness> result(TimePoint endedAt, TimePoint due, Duration newConnectionAllowance) const;
    /// A connection is open that the process had answered on before the end of the answer, or that was open
    /// as soon as it could be if the answer was short.
    bool isKeptSince(TimePoint endedAt, Duration newConnectionAllowance) const;
    /// The server must not be called now, and its connection has been open since before the end.
    bool isOpenWithoutCalls(TimePoint endedAt) const;
    /// The process has shown that it went on after the end of the answer, and a call is in progress.
    bool isSilentSince(TimePoint endedAt) const;
    /// A call is in progress that takes no longer than the one before has taken twice.
    bool isSlowAsBefore(TimePoint now) const;

    const boost::asio::any_io_executor executor;
    const std::shared_ptr<ServerClient> client;
    const std::string healthPath;
    const CallRules rules;
    TimePoint startedAt {};
    std::shared_ptr<StatusConnection> connection;
    /// Open beside the connection if the server closes each after one call: a process that closes all that it
    /// has accepted may not have accepted the latest one yet.
    std::shared_ptr<StatusConnection> spare;
    /// Valid with a spare connection.
    TimePoint spareOpenedAt {};
    /// The latest connection was lost before the server had answered on it: it may take no further ones, and
    /// go on serving those that it has.
    bool isTurnedAway = false;
    /// The connection has carried a call that the process answered.
    bool hasConnectionAnswered = false;
    /// The connection before was kept until the server closed it as announced.
    bool isContinued = false;
    /// Since when connections have been open without an interruption that the server had not announced. The
    /// system accepts connections for a process that has not, so the process is known to keep them only since
    /// it answered on one. Both are valid with a connection.
    TimePoint connectedSince {};
    std::optional<TimePoint> keptSince;
    /// When the connection was opened or the process last answered on it.
    TimePoint usedAt {};
    TimePoint nextOpenAt {};
    TimePoint nextCallAt {};
    /// When the call in progress was sent.
    std::optional<TimePoint> callSentAt;
    TimePoint lastCallAt {};
    /// When the latest call was sent that the process has answered, and how long that took.
    std::optional<TimePoint> answeredCallAt;
    Duration responseTime {};
    /// A step is being taken.
    bool isBusy = false;
    /// When the connection was last seen open.
    TimePoint openAt {};
    /// Of the latest kept connection, while its cause is open.
    std::optional<Loss> loss;
    /// When a kept connection last ended unannounced and had not been idle.
    std::optional<TimePoint> lostAt;
    /// When the process last closed its kept connection without announcement and without its having been
    /// idle.
    std::optional<TimePoint> closedAt;
    /// Begin of the latest connection attempt that the address has accepted.
    std::optional<TimePoint> acceptedAt;
    /// Invariant: once true, it remains so.
    bool hasEnded = false;
    /// Since when the connection had been kept that was open until the process ended; nothing if it has not
    /// ended, or had closed that connection before.
    std::optional<TimePoint> keptUntilEndSince;
    AnswerEnds answerEnds;
    /// When calls have to be sent for the checks in progress.
    std::vector<TimePoint> wantedCalls;
};

} // namespace peridotgrade
