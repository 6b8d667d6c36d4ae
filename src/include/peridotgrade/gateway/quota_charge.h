// What a request was charged to its tenant's quota.
#pragma once

#include <functional>
#include <utility>

namespace peridotgrade {

/// Is kept unless the request turns out not to have run: whoever finds that calls `refund`. Movable, so that
/// only one owner can refund it; not thread safe.
class QuotaCharge {
public:
    QuotaCharge() = default;
    explicit QuotaCharge(std::function<void()> giveBack)
        : giveBack(std::move(giveBack))
    {
    }
    QuotaCharge(QuotaCharge&& other) noexcept
        : giveBack(std::exchange(other.giveBack, nullptr))
    {
    }
    QuotaCharge& operator=(QuotaCharge&& other) noexcept
    {
        this->giveBack = std::exchange(other.giveBack, nullptr);
        return *this;
    }
    ~QuotaCharge() = default;

    /// The request has not run on any server and never will. Further calls do nothing.
    void refund()
    {
        if (auto once = std::exchange(this->giveBack, nullptr))
            once();
    }

private:
    /// Null if nothing was charged, or it was refunded.
    std::function<void()> giveBack;
};

} // namespace peridotgrade
