// Processor time and memory that the entry used during a load run.
#pragma once

#include "load_options.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade::load {

/// Metrics of the entry, read from `/metrics` of its admin port.
struct EntryTotals {
    std::chrono::duration<double> processorTime { 0 };
    double tokens = 0;
    double requests = 0;
    double residentBytes = 0;
};

/// Returns nullopt if no admin port is given or it does not answer with status 200.
boost::asio::awaitable<std::optional<EntryTotals>> readEntryTotals(
    boost::asio::any_io_executor executor, Endpoint admin);

/// One line of key=value pairs: cores used, processor time per request and per token, and resident memory.
std::string costText(
    const EntryTotals& before, const EntryTotals& after, std::chrono::duration<double> elapsed);

} // namespace peridotgrade::load
