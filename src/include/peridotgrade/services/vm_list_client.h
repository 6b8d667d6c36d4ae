// A client of the platform's list of VMs.
#pragma once

#include "peridotgrade/core/membership/vm_record.h"
#include "peridotgrade/net/endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

enum class VmListErrorKind : std::uint8_t { Unreachable, Malformed };

/// Why the list could not be read; the last list read goes on to hold.
struct VmListError {
    VmListErrorKind kind = VmListErrorKind::Unreachable;
    std::string detail;
};

/// Reads a VM list from the platform's JSON.
std::variant<std::vector<VmRecord>, VmListError> parseVmList(const std::string& json);

/// Reads the VM list, or the one VM of a name. A list that has not changed since the last poll is not sent
/// again
/// (`If-None-Match`). Calls run on the given executor, one at a time.
class VmListClient {
public:
    /// With a `vmName` only that VM is asked for; empty asks for all.
    VmListClient(boost::asio::any_io_executor executor, Endpoint platform, std::string vmName = {});
    ~VmListClient();
    VmListClient(const VmListClient&) = delete;
    VmListClient& operator=(const VmListClient&) = delete;

    /// The list as it is now.
    boost::asio::awaitable<std::variant<std::vector<VmRecord>, VmListError>> poll(
        std::chrono::milliseconds timeout);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
