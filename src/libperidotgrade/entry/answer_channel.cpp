// Queueing of tokens, and the invariants of an answer.
#include "answer_channel.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

AnswerChannel::AnswerChannel(boost::asio::any_io_executor strand, std::size_t maxQueuedBytes)
    : maxQueuedBytes(maxQueuedBytes)
    , signal(std::make_shared<AsyncSignal>(std::move(strand)))
{
}

bool AnswerChannel::onTokens(DeliverTokens tokens, TimePoint at)
{
    std::lock_guard lock(this->mutex);
    if (this->pending.isDisconnected)
        return false;
    checkInvariant(!this->hasEnded, Invariant::NoRequestAnsweredTwice, "tokens after the end of an answer");
    checkInvariant(tokens.firstIndex == this->nextIndex, Invariant::AnswerIsWholeAndOwn,
        "a token is missing or repeated");
    this->nextIndex += static_cast<std::uint32_t>(tokens.pieces.size());
    for (const std::string& piece : tokens.pieces)
        this->queuedBytes += piece.size();
    if (this->queuedBytes > this->maxQueuedBytes) {
        this->pending.isDisconnected = true;
        this->signal->set();
        return false;
    }
    this->pending.batches.push_back(TokenBatch { std::move(tokens.pieces), at });
    this->signal->set();
    return true;
}

void AnswerChannel::onFinished(const FinishAnswer& answer)
{
    std::lock_guard lock(this->mutex);
    checkInvariant(!this->hasEnded, Invariant::NoRequestAnsweredTwice, "an answer ended twice");
    checkInvariant(answer.outputTokens == this->nextIndex, Invariant::AnswerIsWholeAndOwn,
        "the number of tokens at the end of the answer differs from those delivered");
    this->hasEnded = true;
    this->pending.finish = answer;
    this->signal->set();
}

void AnswerChannel::onRefused(const Refusal& refusal)
{
    std::lock_guard lock(this->mutex);
    checkInvariant(
        !this->hasEnded, Invariant::NoRequestAnsweredTwice, "a refusal after the end of an answer");
    bool isOutcomeConsistent = refusal.outcome != Outcome::NotRun || this->nextIndex == 0;
    checkInvariant(
        isOutcomeConsistent, Invariant::NotRunMeansNotRun, "refused as not-run after tokens were delivered");
    this->hasEnded = true;
    this->pending.refusal = refusal;
    this->signal->set();
}

void AnswerChannel::markDisconnected()
{
    std::lock_guard lock(this->mutex);
    this->pending.isDisconnected = true;
    this->signal->set();
}

bool AnswerChannel::hasProgress() const
{
    const AnswerProgress& progress = this->pending;
    return progress.isDisconnected || !progress.batches.empty() || progress.finish || progress.refusal;
}

boost::asio::awaitable<AnswerProgress> AnswerChannel::next()
{
    for (;;) {
        {
            std::lock_guard lock(this->mutex);
            if (this->hasProgress()) {
                AnswerProgress taken = std::move(this->pending);
                this->pending = AnswerProgress {};
                this->pending.isDisconnected = taken.isDisconnected;
                this->queuedBytes = 0;
                co_return taken;
            }
        }
        co_await this->signal->wait();
    }
}

} // namespace peridotgrade
