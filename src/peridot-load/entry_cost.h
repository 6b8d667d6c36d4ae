// What a run cost the entry.
#pragma once

#include "load_options.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade::load {

/// Totals that the entry shows at `/metrics`.
struct EntryTotals {
    std::chrono::duration<double> processorTime { 0 };
    double tokens = 0;
    double requests = 0;
    double residentBytes = 0;
};

/// Nothing if there is no admin port or it does not answer.
boost::asio::awaitable<std::optional<EntryTotals>> readEntryTotals(
    boost::asio::any_io_executor executor, Endpoint admin);

/// One line of key=value pairs: processor time a second, for a request and for a token.
std::string costText(const EntryTotals& before, const EntryTotals& after, std::chrono::duration<double> took);

} // namespace peridotgrade::load
