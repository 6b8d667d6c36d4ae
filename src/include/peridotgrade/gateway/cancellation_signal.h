// Cancels the pending operation of a request whose caller has disconnected.
#pragma once

#include <functional>
#include <utility>

namespace peridotgrade {

/// Carries a caller's disconnect to the operation that its request is waiting for: a queue wait, or a
/// connection being opened or read. The waiting code sets a handler that ends the operation. `cancel` calls
/// the handler; one that is set later is called at once. Not thread safe.
class CancellationSignal {
public:
    bool isCancelled() const { return this->cancelled; }

    void cancel()
    {
        if (std::exchange(this->cancelled, true))
            return;
        if (auto callback = std::exchange(this->onCancel, nullptr))
            callback();
    }

    /// Replaces the handler. It is called at once if the signal was cancelled before.
    void setHandler(std::function<void()> callback)
    {
        if (this->cancelled)
            callback();
        else
            this->onCancel = std::move(callback);
    }
    void clearHandler() { this->onCancel = nullptr; }

private:
    bool cancelled = false;
    std::function<void()> onCancel;
};

} // namespace peridotgrade
