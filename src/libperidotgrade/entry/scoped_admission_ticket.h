// Admission ticket of a request, released however the request ends.
#pragma once

#include "peridotgrade/core/admission/fair_share_limiter.h"
#include "peridotgrade/net/timer_driver.h"

#include <mutex>
#include <utility>

namespace peridotgrade {

/// Returns its ticket to the limiter when destroyed. The limiter and its lock must outlive it.
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

    /// Records that the backend servers had no capacity for the request.
    void markRefusedForCapacity() { this->isRefusedForCapacity = true; }

private:
    FairShareLimiter& fairShares;
    std::mutex& mutex;
    const AdmissionTicket ticket;
    bool isRefusedForCapacity = false;
};

} // namespace peridotgrade
