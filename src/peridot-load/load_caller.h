// Sends one completion request through the entry, or one decode request directly to an engine.
#pragma once

#include "load_options.h"
#include "load_request.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace peridotgrade::load {

/// Sends a streamed completion through the entry and checks the answer against the fake engine's answer
/// function.
boost::asio::awaitable<LoadResult> callEntry(
    boost::asio::any_io_executor executor, LoadTarget target, LoadRequest request);

/// Sends the request directly to a mixed engine, without entry and agent; `number` becomes part of the stream
/// id.
boost::asio::awaitable<LoadResult> callEngine(boost::asio::any_io_executor executor, Endpoint engine,
    std::string model, LoadRequest request, std::uint64_t number);

} // namespace peridotgrade::load
