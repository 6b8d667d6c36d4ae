// A request's share of a service's capacity, given back when the request has ended in whatever way.
#pragma once

#include "peridotgrade/core/admission/fair_share_limiter.h"
#include "peridotgrade/net/timer_driver.h"

#include <mutex>
#include <utility>

namespace peridotgrade {

/// Gives its ticket back when it is destroyed. The shares and their lock must outlive it.
class HeldShare {
public:
    HeldShare(FairShareLimiter& shares, std::mutex& mutex, AdmissionTicket ticket)
        : shares(shares)
        , mutex(mutex)
        , ticket(std::move(ticket))
    {
    }

    ~HeldShare()
    {
        std::lock_guard lock(this->mutex);
        this->shares.finished(this->ticket, this->isRefusedForCapacity, TimerDriver::now());
    }

    HeldShare(const HeldShare&) = delete;
    HeldShare& operator=(const HeldShare&) = delete;

    /// The backend servers had no room for the request.
    void markRefusedForCapacity() { this->isRefusedForCapacity = true; }

private:
    FairShareLimiter& shares;
    std::mutex& mutex;
    const AdmissionTicket ticket;
    bool isRefusedForCapacity = false;
};

} // namespace peridotgrade
