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

void DecodeBatch::add(WorkPointer work)
{
    work->state = WorkState::Running;
    this->running.push_back(std::move(work));
    this->wake.cancel();
}

void DecodeBatch::drop(const WorkPointer& work)
{
    auto found = std::find(this->running.begin(), this->running.end(), work);
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
    std::vector<WorkPointer> finished;
    for (const WorkPointer& work : this->running) {
        if (this->advance(*work))
            finished.push_back(work);
        work->notify();
    }
    for (const WorkPointer& work : finished) {
        this->drop(work);
        work->state = WorkState::Done;
        this->onFinished(work);
    }
}

bool DecodeBatch::advance(Work& work)
{
    bool isStopped = work.nextIndex >= work.answerLength;
    bool isFull = work.nextIndex >= work.endIndex;
    if (!isStopped && !isFull) {
        json::object token;
        token["index"] = work.nextIndex;
        token["text"] = answerPiece(work.ownPrompt, work.nextIndex);
        work.pending += serverSentEvent(token);
        ++work.nextIndex;
        bool isCrashing = work.ownPrompt.find(CrashInDecodeMarker) != std::string::npos;
        if (isCrashing && work.nextIndex >= TokensBeforeCrash)
            crash();
        isStopped = work.nextIndex >= work.answerLength;
        isFull = work.nextIndex >= work.endIndex;
    }
    if (!isStopped && !isFull)
        return false;
    json::object last;
    last["finish_reason"] = isStopped ? "stop" : "length";
    work.pending += serverSentEvent(last);
    return true;
}

} // namespace peridotgrade::standins
