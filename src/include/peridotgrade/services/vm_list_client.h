// A client for the platform's list of VMs.
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

/// Why the list could not be read; the last list read stays valid.
struct VmListError {
    VmListErrorKind kind = VmListErrorKind::Unreachable;
    std::string detail;
};

/// Parses the platform's JSON list of VMs; one malformed VM makes the whole list malformed.
std::variant<std::vector<VmRecord>, VmListError> parseVmList(const std::string& json);

/// Reads the VM list, or the one VM with a given name. The platform does not resend a list that has not
/// changed since the last poll (`If-None-Match`). Calls run on the given executor, one at a time.
class VmListClient {
public:
    /// Requests only the VM `vmName`, or all VMs if it is empty.
    VmListClient(boost::asio::any_io_executor executor, Endpoint platform, std::string vmName = {});
    ~VmListClient();
    VmListClient(const VmListClient&) = delete;
    VmListClient& operator=(const VmListClient&) = delete;

    /// Returns the current list.
    boost::asio::awaitable<std::variant<std::vector<VmRecord>, VmListError>> poll(
        std::chrono::milliseconds timeout);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
