// Tokens of one tenant at an entry, and the entry's questions to the holder of the account.
#pragma once

#include "peridotgrade/core/admission/quota_decision.h"
#include "peridotgrade/core/admission/quota_grant.h"
#include "peridotgrade/core/admission/quota_request.h"
#include "peridotgrade/core/admission/token_bucket.h"
#include "peridotgrade/core/admission/usage_window.h"
#include "peridotgrade/core/serving/request_priority.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotgrade {

/// Charges requests to a small balance and asks the holder for more when it does not cover one. Requests that
/// wait at the same time share a question, and there is one question at a time; it is repeated unchanged
/// until it is answered or the holder changes, so that no grant is lost or charged twice. While the holder
/// does not answer, requests are charged to the entry's own share. All times are of a clock that advances
/// while the machine is suspended. Not thread safe.
class QuotaBalance {
public:
    /// A lost datagram is repeated twice before requests stop waiting: with one repetition, requests within
    /// the quota were refused when 0.5 % of the datagrams were lost. A round trip takes a few milliseconds.
    static constexpr std::chrono::milliseconds RepeatAfter { 20 };
    static constexpr std::chrono::milliseconds MaxWait { 60 };
    /// Tokens that are not used for this long are returned.
    static constexpr std::chrono::seconds UnusedTime { 1 };
    /// A request that was rejected later gives its tokens back if it was charged at most this long ago: what
    /// is given back is used in another window, so the time is a tenth of the 8 s in which a limit is
    /// checked.
    static constexpr std::chrono::milliseconds MaxRefundAge { 800 };
    /// Most tokens at an entry without a waiting request, as a part of the burst.
    static constexpr double MaxBalanceShare = 0.05;
    /// Small requests are served before their tokens arrive, up to this part of the burst, so that plain
    /// calls, which come far apart at each entry, do not wait for the holder.
    static constexpr double CreditShare = 0.01;
    /// An entry whose membership has ended, and that no holder has answered since, uses its whole share after
    /// this time. By then the others have read that it is no member any more and leave its share to it: they
    /// read the members every 1.5 s.
    static constexpr std::chrono::milliseconds WholeShareAfter { 4000 };

    /// A tenant is at its limit for this time after a refusal. A tenant that sends three times its limit is
    /// refused several times a second at each entry that it uses.
    static constexpr std::chrono::seconds AtLimitTime { 1 };

    struct Hooks {
        /// Sends a question to the holder; the answer may come before it returns.
        std::function<void(const std::string& holder, const QuotaRequest& request)> send;
        /// The decision on a request that waited.
        std::function<void(QuotaTicket ticket, const QuotaResult& result)> settle;
    };

    QuotaBalance(TenantId tenant, std::string member, const TenantQuota& quota, TimePoint now, Hooks hooks);

    void setQuota(const TenantQuota& newQuota, std::uint64_t version, TimePoint now);
    /// This entry's part of all partitions, 0 to 1.
    void setShare(double value, TimePoint now);
    /// Whether this entry's membership is confirmed.
    void setMember(bool value, TimePoint now);
    /// The member that holds the account; nothing if it is not known.
    void setHolder(std::optional<std::string_view> newHolder, TimePoint now);

    QuotaDecision admit(double tokens, RequestPriority priority, TimePoint now);
    /// Refuses a caller's retry while first attempts of the tenant are refused: its answer is late anyway,
    /// and at the limit it takes tokens from answers that would be on time.
    std::optional<QuotaRefusal> refuseRetry(TimePoint now) const;
    /// An answer of that member.
    void accept(const std::string& from, const QuotaGrant& grant, TimePoint now);
    /// The request has not run and never will.
    void refund(QuotaSource source, double tokens, TimePoint chargedAt, TimePoint now);
    /// Repeats questions, ends waits and returns tokens that are due.
    void advance(TimePoint now);
    /// When `advance` is to be called next.
    std::optional<TimePoint> nextDue() const;

    bool isOnOwnShare() const { return !this->holder || this->isUnreachable; }
    bool hasWaiting() const { return !this->waiting.empty(); }

private:
    struct Waiting {
        QuotaTicket ticket;
        double tokens = 0;
        RequestPriority priority;
        TimePoint until {};
    };
    struct Question {
        QuotaRequest request;
        /// Tokens of the waiting request that `needed` stands for.
        double first = 0;
        TimePoint firstSentAt {};
        TimePoint lastSentAt {};
    };
    struct Refused {
        /// Smaller requests may still be within the quota.
        double tokens = 0;
        /// When the holder is asked again.
        TimePoint askAt {};
        /// When the holder expects to grant as much.
        TimePoint grantedAt {};
    };

    bool tryBalance(double tokens, TimePoint now);
    QuotaResult chargeOwnShare(double tokens, TimePoint now);
    void charge(double tokens, TimePoint now);
    void enqueue(Waiting request);
    void ask(TimePoint now);
    /// What is asked for beyond the waiting requests, of which the first needs `first` tokens.
    double tokensAhead(double first, TimePoint now);
    void send();
    void serveWaiting(TimePoint now);
    void refuseWaiting(double first, std::chrono::milliseconds retryAfter, TimePoint now);
    void leaveToOwnShare(TimePoint now);
    void retireUnused(TimePoint now);
    void settleWaiting();
    TokenRate ownRate(TimePoint now) const;

    const TenantId tenant;
    const std::string member;
    const Hooks hooks;
    TenantQuota quota;
    std::uint64_t version = 0;
    double share = 0;
    /// The entry has had a share before.
    bool hasStarted = false;
    TokenBucket ownShare;
    std::optional<std::string> holder;
    bool isMember = true;
    /// When the others last counted on this entry: the membership ended, the holder became unknown, or the
    /// holder answered.
    TimePoint countedAt {};
    /// The holder has not answered in time, or says that it is not the holder.
    bool isUnreachable = false;
    Duration backoff {};
    TimePoint repeatAt {};
    /// Below zero while small requests were served on credit.
    double balance = 0;
    TimePoint usedAt {};
    double toReturn = 0;
    /// The holder counts this entry among those with traffic.
    bool isActive = false;
    /// Within the time that fills the bucket.
    UsageWindow used;
    UsageWindow usedLately;
    std::uint64_t lastRequestId = 0;
    std::uint64_t lastTicket = 0;
    std::optional<Question> question;
    std::optional<Refused> refused;
    std::optional<TimePoint> lastRefusedAt;
    /// By priority, then in order of arrival.
    std::vector<Waiting> waiting;
    /// The answer to a question that is being sent may come at once, before the caller has its ticket.
    bool isAdmitting = false;
    std::vector<std::pair<QuotaTicket, QuotaResult>> settled;
};

} // namespace peridotgrade
