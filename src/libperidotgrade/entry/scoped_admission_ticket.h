// A request's share of a service's capacity, given back when the request has ended in whatever way.
#pragma once

#include "peridotgrade/core/admission/fair_share_limiter.h"
#include "peridotgrade/net/timer_driver.h"

#include <mutex>
#include <utility>

namespace peridotgrade {

/// Gives its ticket back when it is destroyed. The shares and their lock must outlive it.
class ScopedAdmissionTicket {
public:
    ScopedAdmissionTicket(FairShareLimiter& fairShares, std::mutex& mutex, AdmissionTicket ticket)
        : fairShares(fairShares)
        , mutex(mutex)
        , ticket(std::move(ticket))
    {
    }

    ~ScopedAdmissionTicket()
    {
        std::lock_guard lock(this->mutex);
        this->fairShares.finished(this->ticket, this->isRefusedForCapacity, TimerDriver::now());
    }

    ScopedAdmissionTicket(const ScopedAdmissionTicket&) = delete;
    ScopedAdmissionTicket& operator=(const ScopedAdmissionTicket&) = delete;

    /// The backend servers had no room for the request.
    void markRefusedForCapacity() { this->isRefusedForCapacity = true; }

private:
    FairShareLimiter& fairShares;
    std::mutex& mutex;
    const AdmissionTicket ticket;
    bool isRefusedForCapacity = false;
};

} // namespace peridotgrade
