// Who hears what becomes of one request.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/routing/router_action.h"

namespace peridotgrade {

/// Hears of one model request. Called under the shard's lock: must not block or call the shard. After
/// `onFinished` or `onRefused` nothing more is called.
class ModelAnswerListener {
public:
    virtual ~ModelAnswerListener() = default;

    /// False if the caller does not read fast enough; the shard then cancels the request and calls nothing
    /// more.
    virtual bool onTokens(DeliverTokens tokens, TimePoint at) = 0;
    virtual void onFinished(const FinishAnswer& answer) = 0;
    virtual void onRefused(const Refusal& refusal) = 0;
};

/// Hears of one application call. Called like ModelAnswerListener.
class CallAnswerListener {
public:
    virtual ~CallAnswerListener() = default;

    virtual void onAnswer(ApplicationAnswer answer) = 0;
    virtual void onRefused(const Refusal& refusal) = 0;
};

} // namespace peridotgrade
