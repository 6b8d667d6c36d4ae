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

/// Reads the VM list. Calls run on the given executor.
class VmListClient {
public:
    VmListClient(boost::asio::any_io_executor executor, Endpoint platform);
    ~VmListClient();
    VmListClient(const VmListClient&) = delete;
    VmListClient& operator=(const VmListClient&) = delete;

    /// Reads the whole list once.
    boost::asio::awaitable<std::variant<std::vector<VmRecord>, VmListError>> poll(
        std::chrono::milliseconds timeout);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
