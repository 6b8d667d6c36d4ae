// Hash of a model request's content.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <string>

namespace peridotgrade {

/// The fingerprint of a request's content: equal for the same model and prompt, whatever the request's id.
Fingerprint fingerprintOf(const ModelId& model, const std::string& prompt);

} // namespace peridotgrade
