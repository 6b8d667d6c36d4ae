// Interfaces that receive the outcome of one request from an entry shard.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/routing/router_action.h"

namespace peridotgrade {

/// Receives the events of one model request. Called under the shard's lock, so implementations must neither
/// block nor call the shard. `onFinished` or `onRefused` is the last call.
class ModelAnswerListener {
public:
    virtual ~ModelAnswerListener() = default;

    /// Returns false if the caller does not read fast enough; the shard then cancels the request and makes no
    /// further call.
    virtual bool onTokens(DeliverTokens tokens, TimePoint at) = 0;
    virtual void onFinished(const FinishAnswer& answer) = 0;
    virtual void onRefused(const Refusal& refusal) = 0;
};

/// Receives the outcome of one application call, under the same rules as ModelAnswerListener.
class CallAnswerListener {
public:
    virtual ~CallAnswerListener() = default;

    virtual void onAnswer(ApplicationAnswer answer) = 0;
    virtual void onRefused(const Refusal& refusal) = 0;
};

} // namespace peridotgrade
