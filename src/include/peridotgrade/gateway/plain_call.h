// Requests to plain services, whose servers answer in one piece.
#pragma once

#include "peridotgrade/core/serving/retry_accounting.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/request_context.h"

#include <boost/asio/awaitable.hpp>

#include <set>

namespace peridotgrade {

/// Serves one request: chooses a server, sends the request, and retries at another server where the kind of
/// route, its maximum attempts and the retry budget allow it.
class PlainCall {
public:
    PlainCall(GatewayState& state, RequestContext& context);
    boost::asio::awaitable<void> serve();

private:
    enum class Next : std::uint8_t { Done, TryOther };

    const ServerRecord* chooseServer();
    /// True if the request may run at servers of the version.
    bool mayServe(const SoftwareVersion& candidate) const;
    /// Requests at the server, by its reports or at least this entry's own.
    double requestsAt(const ServerRecord& server) const;
    /// Expected time of a call there, in requests of an average server.
    double expectedTime(const ServerRecord& server) const;
    boost::asio::awaitable<Next> attempt(const ServerRecord& record);
    boost::asio::awaitable<Next> forwardAnswer(ServerAnswer& answer, std::shared_ptr<ServerClient> client);
    /// The run of this answer counts unless the server states that it has not run the request.
    void noteIncomplete(ServerAnswer& answer, const ServerId& server, const NetError& error);
    /// For the check whether the server still runs after the end of its answer.
    EndCheckTimes endCheckTimes() const;
    /// True if nothing else than this answer can come of the request.
    bool isFinal(const ServerAnswerHead& head) const;
    /// Passes an answer on as it arrives, no faster than the caller reads, since no memory is left to hold
    /// it. `begun` has its head and what has been read of it, and `share` the memory of that. From here on no
    /// other server can be tried.
    boost::asio::awaitable<void> passOn(ServerAnswer& answer, std::shared_ptr<ServerLiveness> watch,
        HttpResponse begun, BodyMemory::Share share);
    boost::asio::awaitable<void> giveUp();
    /// The limit that forbids another send, to `next` if it is not null; empty if there is none. Takes a
    /// retry from the budget if the send is one.
    std::string_view limitReached(const ServerRecord* next);
    /// Takes the budget for sending a request once more after its connection has ended.
    bool takeResendBudget();
    void noteNoSend(std::string_view limit);
    bool canRunAgain() const;
    Duration attemptTime() const;

    GatewayState& state;
    RequestContext& context;
    RetryAccounting retryAccounting;
    std::set<ServerId> tried;
    /// Sends that a server may have begun to run.
    std::uint32_t runs = 0;
    std::uint32_t sends = 0;
    /// The server error that is answered if no other server succeeds.
    std::optional<HttpResponse> lastAnswer;
    /// Memory of `lastAnswer`.
    BodyMemory::Share lastShare;
    BodyFraming lastFraming = BodyFraming::Length;
    RequestWriteState lastWriteState = RequestWriteState::Written;
    std::string lastDetail;
    std::string lastServer;
};

} // namespace peridotgrade
