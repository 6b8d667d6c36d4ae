// Import of a KV cache from another engine.
#pragma once

#include "stream_task.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace peridotgrade::standins {

enum class ImportResult : std::uint8_t { Imported, Unavailable, Stalled };

/// Transfers the KV cache `handle` from `exporter` within `timeout`; aborted when the task is cancelled.
boost::asio::awaitable<ImportResult> importKv(
    StreamTaskPointer task, std::string exporter, std::string handle, std::chrono::milliseconds timeout);

} // namespace peridotgrade::standins
