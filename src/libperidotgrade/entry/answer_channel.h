// Bounded queue that carries a model's answer from the shard to the coroutine that serves the caller.
#pragma once

#include "async_signal.h"

#include "peridotgrade/entry/answer_listener.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Tokens that arrived together.
struct TokenBatch {
    std::vector<std::string> pieces;
    TimePoint at;
};

/// Everything that arrived since the previous call of `AnswerChannel::next`. At most one of `finish` and
/// `refusal` is set.
struct AnswerProgress {
    std::vector<TokenBatch> batches;
    std::optional<FinishAnswer> finish;
    std::optional<Refusal> refusal;
    /// The caller closed its connection, or does not read and was cut off.
    bool isDisconnected = false;
};

/// The queue is bounded in bytes, so that a caller that does not read loses its answer instead of exhausting
/// the memory of the entry.
class AnswerChannel final : public ModelAnswerListener {
public:
    AnswerChannel(boost::asio::any_io_executor strand, std::size_t maxQueuedBytes);

    bool onTokens(DeliverTokens tokens, TimePoint at) override;
    void onFinished(const FinishAnswer& answer) override;
    void onRefused(const Refusal& refusal) override;

    /// Marks the caller as disconnected. Thread safe.
    void markDisconnected();

    /// Waits until there is progress and returns it. Must be called on the strand.
    boost::asio::awaitable<AnswerProgress> next();

private:
    bool hasProgress() const;

    const std::size_t maxQueuedBytes;
    std::shared_ptr<AsyncSignal> signal;
    std::mutex mutex;
    AnswerProgress pending;
    /// Invariant: bytes of the pieces in `pending`, at most `maxQueuedBytes` while the caller is connected.
    std::size_t queuedBytes = 0;
    /// Invariant: index of the next token; tokens arrive without gap or repetition, and none after the end.
    std::uint32_t nextIndex = 0;
    bool hasEnded = false;
};

} // namespace peridotgrade
