// Polling of the VM list, and its distribution.
#include "vm_list_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    constexpr std::chrono::milliseconds PollInterval { 1000 };
    constexpr std::chrono::milliseconds InitialPollInterval { 100 };
    constexpr std::chrono::milliseconds PollTimeout { 5000 };
} // namespace

VmListFeed::VmListFeed(asio::any_io_executor strand, EntryContext& context, Admission& admission)
    : strand(std::move(strand))
    , context(context)
    , admission(admission)
    , client(this->strand, context.settings.node.platform)
    , pollTimer(this->strand)
{
}

void VmListFeed::start()
{
    asio::co_spawn(
        this->strand, [this] { return this->pollUntilStopped(); }, asio::detached);
}

void VmListFeed::stop()
{
    this->isStopped = true;
    this->pollTimer.cancel();
}

std::vector<VmRecord> VmListFeed::current() const
{
    std::lock_guard lock(this->mutex);
    return this->lastVms;
}

asio::awaitable<void> VmListFeed::pollUntilStopped()
{
    while (!this->isStopped) {
        auto result = co_await this->client.poll(PollTimeout);
        auto* error = std::get_if<VmListError>(&result);
        bool wasReachable = std::exchange(this->isReachable, error == nullptr);
        if (error != nullptr && wasReachable)
            this->context.logger.write(
                LogLevel::Warn, "vm_list_unreachable", { { "detail", error->detail } });
        if (error == nullptr)
            this->apply(std::get<std::vector<VmRecord>>(std::move(result)));
        boost::system::error_code ignored;
        this->pollTimer.expires_after(this->context.hasVmList ? PollInterval : InitialPollInterval);
        co_await this->pollTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void VmListFeed::apply(std::vector<VmRecord> vms)
{
    bool isUnchanged = this->context.hasVmList && vms == this->lastVms;
    if (isUnchanged)
        return;
    {
        std::lock_guard lock(this->mutex);
        this->lastVms = vms;
    }
    auto isLiveEntry
        = [](const VmRecord& vm) { return vm.kind == VmKind::Entry && vm.state == VmState::Live; };
    this->admission.setEntryCount(
        static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), isLiveEntry)));
    for (auto& shard : this->context.shards)
        shard->onVmList(vms);
    this->context.hasVmList = true;
    this->context.logger.write(LogLevel::Info, "vm_list_changed", { { "vms", std::to_string(vms.size()) } });
}

} // namespace peridotgrade
