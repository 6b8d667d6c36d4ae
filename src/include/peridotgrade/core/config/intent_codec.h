// JSON decoding of intents.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/intent.h"

#include <boost/json/value.hpp>

#include <variant>
#include <vector>

namespace peridotgrade {

/// Reads `{"intents":[{"kind":"serveModel",...},...]}`; the caller has already validated it against the
/// schema.
std::variant<std::vector<Intent>, ConfigError> intentsFrom(const boost::json::value& value);

} // namespace peridotgrade
