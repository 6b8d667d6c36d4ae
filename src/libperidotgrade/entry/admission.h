// Admission of callers' requests by the limits of their workspaces.
#pragma once

#include "peridotgrade/core/admission/workspace_limiter.h"
#include "peridotgrade/core/base/outcome.h"

#include <mutex>

namespace peridotgrade {

/// The entry's one limiter, for all threads.
class Admission {
public:
    /// Nothing if the request is admitted, else its refusal.
    std::optional<Refusal> admit(const Workspace& workspace, std::uint32_t outputTokens, TimePoint now)
    {
        std::lock_guard lock(this->mutex);
        auto wait = this->limiter.admit(workspace, outputTokens, now);
        if (!wait)
            return std::nullopt;
        Refusal refusal;
        refusal.reason = RefusalReason::WorkspaceLimit;
        refusal.retryAfter = *wait;
        return refusal;
    }

    void giveBack(const Workspace& workspace, std::uint32_t outputTokens)
    {
        std::lock_guard lock(this->mutex);
        this->limiter.giveBack(workspace, outputTokens);
    }

    void setEntries(std::size_t count)
    {
        std::lock_guard lock(this->mutex);
        this->limiter.setEntries(count);
    }

private:
    std::mutex mutex;
    WorkspaceLimiter limiter;
};

} // namespace peridotgrade
