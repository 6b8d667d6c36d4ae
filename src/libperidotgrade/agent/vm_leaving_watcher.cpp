// Polling of the VM list for the agent's own VM.
#include "peridotgrade/agent/vm_leaving_watcher.h"

#include "peridotgrade/services/vm_list_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    constexpr std::chrono::milliseconds PollInterval { 1000 };
    constexpr std::chrono::milliseconds PollTimeout { 2000 };
} // namespace

class VmLeavingWatcher::Impl : public std::enable_shared_from_this<VmLeavingWatcher::Impl> {
public:
    Impl(asio::any_io_executor executor, Endpoint platform, std::string vmName,
        std::function<void()> onLeaving)
        : strand(asio::make_strand(std::move(executor)))
        , list(this->strand, std::move(platform), vmName)
        , vmName(std::move(vmName))
        , onLeaving(std::move(onLeaving))
    {
    }

    void start() { asio::co_spawn(this->strand, this->watch(this->shared_from_this()), asio::detached); }

    std::atomic<bool> isStopped = false;

private:
    asio::awaitable<void> watch(std::shared_ptr<Impl>)
    {
        asio::steady_timer pause(this->strand);
        while (!this->isStopped) {
            auto result = co_await this->list.poll(PollTimeout);
            const auto* vms = std::get_if<std::vector<VmRecord>>(&result);
            if (vms && this->isLeaving(*vms) && !this->isStopped) {
                this->onLeaving();
                co_return;
            }
            pause.expires_after(PollInterval);
            boost::system::error_code ignored;
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    bool isLeaving(const std::vector<VmRecord>& vms) const
    {
        auto isOwnAndLeaving
            = [this](const VmRecord& vm) { return vm.name == this->vmName && vm.state == VmState::Leaving; };
        return std::any_of(vms.begin(), vms.end(), isOwnAndLeaving);
    }

    asio::strand<asio::any_io_executor> strand;
    VmListClient list;
    const std::string vmName;
    const std::function<void()> onLeaving;
};

VmLeavingWatcher::VmLeavingWatcher(
    asio::any_io_executor executor, Endpoint platform, std::string vmName, std::function<void()> onLeaving)
    : impl(std::make_shared<Impl>(
        std::move(executor), std::move(platform), std::move(vmName), std::move(onLeaving)))
{
}

VmLeavingWatcher::~VmLeavingWatcher() { this->stop(); }

void VmLeavingWatcher::start() { this->impl->start(); }

void VmLeavingWatcher::stop() { this->impl->isStopped = true; }

} // namespace peridotgrade
