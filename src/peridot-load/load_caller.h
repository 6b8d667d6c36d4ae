// Sends one completion as a caller, or one call to an engine directly.
#pragma once

#include "load_options.h"
#include "load_request.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace peridotgrade::load {

/// Through the entry, streamed; the answer is checked against the stand-in's answer function.
boost::asio::awaitable<LoadResult> callEntry(
    boost::asio::any_io_executor executor, LoadTarget target, LoadRequest request);

/// At a mixed engine without entry and agent; `number` names the stream.
boost::asio::awaitable<LoadResult> callEngine(boost::asio::any_io_executor executor, Endpoint engine,
    std::string model, LoadRequest request, std::uint64_t number);

} // namespace peridotgrade::load
