// Requests of simulated callers.
#pragma once

#include "fake_answer.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/routing/model_request.h"

namespace peridotgrade::test {

/// A request with a new id; the caller sets its due time and deadline.
inline ModelRequest fakeRequest(RandomSource& random, std::uint64_t number, bool isPoison)
{
    ModelRequest request;
    request.id = RequestId { random.next() };
    request.model = ModelId { "m" };
    request.prompt = promptOf(number, isPoison);
    request.promptTokens = 100;
    request.maxOutputTokens = 30;
    request.priority = static_cast<Priority>(random.below(3));
    return request;
}

} // namespace peridotgrade::test
