// Admission of requests by the rate limit and the fair share of their workspace.
#pragma once

#include "peridotgrade/core/admission/fair_share_limiter.h"
#include "peridotgrade/core/admission/workspace_rate_limiter.h"
#include "peridotgrade/core/base/outcome.h"
#include "scoped_admission_ticket.h"

#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace peridotgrade {

/// The rate limiter and the fair-share limiter of an entry. Thread safe.
class Admission {
public:
    /// Returns the refusal if the workspace is over its rate limit, otherwise nothing.
    std::optional<Refusal> admit(const Workspace& workspace, std::uint32_t outputTokens, TimePoint now)
    {
        std::lock_guard lock(this->mutex);
        auto wait = this->rateLimiter.admit(workspace, outputTokens, now);
        if (!wait)
            return std::nullopt;
        Refusal refusal;
        refusal.reason = RefusalReason::WorkspaceLimit;
        refusal.retryAfter = *wait;
        return refusal;
    }

    void refund(const Workspace& workspace, std::uint32_t outputTokens)
    {
        std::lock_guard lock(this->mutex);
        this->rateLimiter.refund(workspace, outputTokens);
    }

    /// Returns a ticket for one request in the pool (a model), or the refusal if the pool is at its
    /// concurrency limit and the workspace has used its share.
    std::variant<std::unique_ptr<ScopedAdmissionTicket>, Refusal> acquireTicket(
        const Workspace& workspace, const std::string& pool, TimePoint now)
    {
        std::lock_guard lock(this->mutex);
        auto result = this->fairShares.admit(workspace, pool, now);
        if (auto* refusal = std::get_if<Refusal>(&result))
            return std::move(*refusal);
        return std::make_unique<ScopedAdmissionTicket>(
            this->fairShares, this->mutex, std::move(std::get<AdmissionTicket>(result)));
    }

    void setEntryCount(std::size_t count)
    {
        std::lock_guard lock(this->mutex);
        this->rateLimiter.setEntryCount(count);
    }

private:
    std::mutex mutex;
    WorkspaceRateLimiter rateLimiter;
    FairShareLimiter fairShares;
};

} // namespace peridotgrade
