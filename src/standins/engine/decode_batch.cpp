// Decode steps of the running batch.
#include "decode_batch.h"

#include "answer.h"

#include "../common/pause.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>

namespace peridotgrade::standins {

namespace json = boost::json;

namespace {

    constexpr int CrashStatus = 134;
    // A request with the crash marker decodes a few tokens first, so that other requests share the batch
    // when the process ends.
    constexpr std::uint32_t TokensBeforeCrash = 3;

    std::string serverSentEvent(const json::object& data)
    {
        return "data: " + json::serialize(data) + "\n\n";
    }

} // namespace

void crash() { std::_Exit(CrashStatus); }

DecodeBatch::DecodeBatch(
    const boost::asio::any_io_executor& executor, const EngineSettings& settings, OnFinished onFinished)
    : executor(executor)
    , wake(executor, boost::asio::steady_timer::time_point::max())
    , settings(settings)
    , onFinished(std::move(onFinished))
{
}

void DecodeBatch::add(StreamTaskPointer task)
{
    task->state = StreamTaskState::Running;
    this->running.push_back(std::move(task));
    this->wake.cancel();
}

void DecodeBatch::drop(const StreamTaskPointer& task)
{
    auto found = std::find(this->running.begin(), this->running.end(), task);
    if (found != this->running.end())
        this->running.erase(found);
}

void DecodeBatch::clear() { this->running.clear(); }

boost::asio::awaitable<void> DecodeBatch::run()
{
    while (true) {
        if (this->running.empty()) {
            boost::system::error_code woken;
            co_await this->wake.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
            continue;
        }
        std::chrono::microseconds stepTime { this->settings.stepUs
            + this->settings.stepPerStreamUs * this->running.size() };
        co_await pause(this->executor, stepTime);
        this->step();
    }
}

void DecodeBatch::step()
{
    std::vector<StreamTaskPointer> finished;
    for (const StreamTaskPointer& task : this->running) {
        if (this->advance(*task))
            finished.push_back(task);
        task->notify();
    }
    for (const StreamTaskPointer& task : finished) {
        this->drop(task);
        task->state = StreamTaskState::Done;
        this->onFinished(task);
    }
}

bool DecodeBatch::advance(StreamTask& task)
{
    bool isStopped = task.nextIndex >= task.answerLength;
    bool isAtLimit = task.nextIndex >= task.endIndex;
    if (!isStopped && !isAtLimit) {
        json::object token;
        token["index"] = task.nextIndex;
        token["text"] = answerPiece(task.originalPrompt, task.nextIndex);
        task.pending += serverSentEvent(token);
        ++task.nextIndex;
        bool isCrashing = task.originalPrompt.find(CrashInDecodeMarker) != std::string::npos;
        if (isCrashing && task.nextIndex >= TokensBeforeCrash)
            crash();
        isStopped = task.nextIndex >= task.answerLength;
        isAtLimit = task.nextIndex >= task.endIndex;
    }
    if (!isStopped && !isAtLimit)
        return false;
    json::object last;
    last["finish_reason"] = isStopped ? "stop" : "length";
    task.pending += serverSentEvent(last);
    return true;
}

} // namespace peridotgrade::standins
