// Timed wait in a coroutine.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace peridotgrade {

boost::asio::awaitable<void> sleepFor(boost::asio::any_io_executor executor, Duration duration);

} // namespace peridotgrade
