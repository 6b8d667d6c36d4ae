// Ends what a request is waiting for when its caller is gone.
#pragma once

#include <functional>
#include <utility>

namespace peridotgrade {

/// Carries a caller's departure to whatever the request does at the moment: a wait, a connection being
/// opened or read. The one who waits registers how to end that; raising ends it and refuses later ones. Not
/// thread safe.
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

    /// Replaces what is to be ended; it ends at once if the interrupt was raised before.
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
