// The part of the engine client for prefills, token streams, cancellations and listings.
#include "engine_client_impl.h"

#include "peridotgrade/net/whole_body.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds CancelTimeout { 2000 };
    constexpr std::chrono::milliseconds FreeRetryDelay { 100 };
    constexpr std::uint16_t HttpOk = 200;

    // Error bodies have some hundred bytes.
    constexpr BodyLimits ErrorBody { 64 * 1024 };

    /// A stream as the source of a whole body.
    struct StreamBody {
        HttpStream& stream;
        asio::awaitable<std::variant<std::string, NetError>> readBody(Duration timeout)
        {
            co_return co_await this->stream.read(std::chrono::ceil<std::chrono::milliseconds>(timeout));
        }
    };

    asio::awaitable<std::variant<HttpResponse, NetError>> readRemainingBody(
        HttpStream& stream, std::chrono::milliseconds timeout)
    {
        StreamBody source { stream };
        auto body = co_await readWholeBody(source, TimerDriver::now() + timeout, ErrorBody);
        if (auto* error = std::get_if<NetError>(&body))
            co_return std::move(*error);
        HttpResponse response = stream.head();
        response.body = std::get<std::string>(std::move(body));
        co_return response;
    }

    EngineError errorFrom(const std::variant<HttpResponse, NetError>& result)
    {
        if (const auto* error = std::get_if<NetError>(&result))
            return engineErrorFrom(*error);
        return engineErrorFrom(std::get<HttpResponse>(result));
    }

    std::variant<EnginePrefillDone, EngineError> prefillFrom(
        const std::variant<HttpResponse, NetError>& result)
    {
        if (const auto* error = std::get_if<NetError>(&result))
            return engineErrorFrom(*error);
        return readPrefill(std::get<HttpResponse>(result));
    }

} // namespace

void EngineClient::Impl::command(EngineCommand command)
{
    asio::post(this->strand, [self = this->shared_from_this(), command = std::move(command)]() mutable {
        if (self->isStopped)
            return;
        std::visit([&self](auto& typed) { self->handle(std::move(typed)); }, command);
    });
}

EngineCallPointer EngineClient::Impl::addCall(const EngineStreamId& stream)
{
    auto call = std::make_shared<EngineCall>();
    call->stream = stream;
    this->calls[stream] = call;
    return call;
}

void EngineClient::Impl::removeCall(const EngineCallPointer& call)
{
    call->body = nullptr;
    auto found = this->calls.find(call->stream);
    if (found != this->calls.end() && found->second == call)
        this->calls.erase(found);
}

void EngineClient::Impl::handle(EnginePrefill command)
{
    if (!this->isUp) {
        this->emit(EngineStreamFailed { command.stream, AttemptFailure::EngineDied });
        return;
    }
    auto call = this->addCall(command.stream);
    auto self = this->shared_from_this();
    asio::co_spawn(this->strand, this->runPrefill(self, std::move(command), call), asio::detached);
}

void EngineClient::Impl::handle(EngineDecode command)
{
    if (!this->isUp) {
        this->emit(EngineStreamFailed { command.stream, AttemptFailure::EngineDied });
        return;
    }
    auto call = this->addCall(command.stream);
    call->nextIndex = command.firstIndex;
    auto self = this->shared_from_this();
    asio::co_spawn(this->strand, this->runDecode(self, std::move(command), call), asio::detached);
}

void EngineClient::Impl::handle(const EngineCancel& command)
{
    auto self = this->shared_from_this();
    asio::co_spawn(this->strand, this->cancel(self, command.stream), asio::detached);
}

void EngineClient::Impl::handle(const EngineList&)
{
    asio::co_spawn(this->strand, this->list(this->shared_from_this()), asio::detached);
}

asio::awaitable<void> EngineClient::Impl::runPrefill(Self, EnginePrefill command, EngineCallPointer call)
{
    HttpRequest request = prefillRequest(command);
    auto result = co_await this->http.send(std::move(request), this->settings.prefillTimeout, false);
    call->hasArrived = true;
    auto read = prefillFrom(result);
    if (auto* error = std::get_if<EngineError>(&read)) {
        co_await this->failCall(call, std::move(*error));
        co_return;
    }
    if (call->isLost)
        co_return;
    this->removeCall(call);
    if (call->isCancelled) {
        co_await this->cancel(this->shared_from_this(), call->stream);
        co_return;
    }
    auto& done = std::get<EnginePrefillDone>(read);
    done.stream = call->stream;
    done.exporter = toString(this->settings.exportAddress);
    this->emit(std::move(done));
}

asio::awaitable<void> EngineClient::Impl::runDecode(Self, EngineDecode command, EngineCallPointer call)
{
    HttpRequest request = decodeRequest(command);
    auto timeout = command.transferTimeout + this->settings.prefillTimeout;
    auto opened = co_await this->http.open(std::move(request), timeout);
    call->hasArrived = true;
    if (const auto* error = std::get_if<NetError>(&opened)) {
        co_await this->failCall(call, engineErrorFrom(*error));
        co_return;
    }
    auto body = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    if (body->head().status != HttpOk) {
        auto refusal = co_await readRemainingBody(*body, this->settings.tokenTimeout);
        co_await this->failCall(call, errorFrom(refusal));
        co_return;
    }
    if (call->isLost)
        co_return;
    call->body = body.get();
    auto failure = co_await this->readTokens(*body, call);
    call->body = nullptr;
    if (failure)
        co_await this->failCall(call, std::move(*failure));
    else
        this->removeCall(call);
}

asio::awaitable<std::optional<EngineError>> EngineClient::Impl::readTokens(
    HttpStream& body, const EngineCallPointer& call)
{
    StreamEventReader reader;
    while (true) {
        auto part = co_await body.read(this->settings.tokenTimeout);
        if (call->isLost)
            co_return std::nullopt;
        if (const auto* error = std::get_if<NetError>(&part))
            co_return engineErrorFrom(*error);
        const auto& text = std::get<std::string>(part);
        if (text.empty())
            co_return EngineError { EngineErrorKind::NoAnswer, "token stream ended without a finish reason" };
        auto emitted = this->emitTokens(reader.read(text), call);
        if (reader.isLineTooLong())
            co_return EngineError { EngineErrorKind::Malformed, "a line of the token stream is too long" };
        if (auto* error = std::get_if<EngineError>(&emitted))
            co_return std::move(*error);
        if (std::get<bool>(emitted))
            co_return std::nullopt;
    }
}

std::variant<bool, EngineError> EngineClient::Impl::emitTokens(
    const std::vector<StreamEvent>& events, const EngineCallPointer& call)
{
    EngineTokens tokens;
    tokens.stream = call->stream;
    tokens.firstIndex = call->nextIndex;
    std::optional<EngineError> failure;
    for (const StreamEvent& event : events) {
        if (const auto* token = std::get_if<StreamToken>(&event)) {
            if (token->index != call->nextIndex)
                return EngineError { EngineErrorKind::Malformed, "token index out of sequence" };
            ++call->nextIndex;
            tokens.pieces.push_back(token->text);
        } else if (const auto* end = std::get_if<StreamEnd>(&event)) {
            tokens.isLast = true;
            tokens.finishReason = end->reason;
        } else {
            failure = std::get<EngineError>(event);
        }
    }
    bool isLast = tokens.isLast;
    bool hasContent = isLast || !tokens.pieces.empty();
    if (hasContent && !call->isCancelled)
        this->emit(std::move(tokens));
    if (failure)
        return std::move(*failure);
    return isLast;
}

asio::awaitable<void> EngineClient::Impl::failCall(EngineCallPointer call, EngineError error)
{
    bool mayHoldMemory = error.kind == EngineErrorKind::NoAnswer || error.kind == EngineErrorKind::Malformed;
    while (mayHoldMemory && !call->isLost && !call->isCancelled && !this->isStopped) {
        // If the engine died, that has to be reported before the failure of this call: the requests that were
        // running on the engine become suspects.
        co_await this->checkState();
        if (call->isLost)
            co_return;
        bool isFreed = co_await this->freeAtEngine(call->stream);
        if (isFreed)
            break;
        co_await this->pause(FreeRetryDelay);
    }
    if (call->isLost || this->isStopped)
        co_return;
    this->removeCall(call);
    if (call->isCancelled) {
        co_await this->cancel(this->shared_from_this(), call->stream);
        co_return;
    }
    EngineStreamFailed failed;
    failed.stream = call->stream;
    failed.reason = attemptFailureFrom(error);
    this->emit(std::move(failed));
}

asio::awaitable<bool> EngineClient::Impl::freeAtEngine(EngineStreamId stream)
{
    HttpRequest request = cancelRequest(stream);
    auto result = co_await this->http.send(std::move(request), CancelTimeout);
    const auto* response = std::get_if<HttpResponse>(&result);
    co_return response && response->status == HttpOk;
}

asio::awaitable<void> EngineClient::Impl::cancel(Self, EngineStreamId stream)
{
    auto found = this->calls.find(stream);
    if (found != this->calls.end())
        found->second->isCancelled = true;
    std::uint64_t deathsAtStart = this->deathCount;
    bool isFree = co_await this->freeAtEngine(stream);
    if (!isFree || deathsAtStart != this->deathCount)
        co_return;
    found = this->calls.find(stream);
    if (found != this->calls.end()) {
        EngineCallPointer call = found->second;
        // The cancellation may have overtaken the request itself; the call cancels again when it ends.
        if (!call->hasArrived)
            co_return;
        call->isLost = true;
        if (call->body)
            call->body->close();
        this->removeCall(call);
    }
    this->emit(EngineCancelled { stream });
}

asio::awaitable<void> EngineClient::Impl::list(Self)
{
    std::uint64_t deathsAtStart = this->deathCount;
    HttpRequest request = listRequest();
    auto result = co_await this->http.send(std::move(request), this->settings.stateTimeout);
    const auto* response = std::get_if<HttpResponse>(&result);
    if (!response || deathsAtStart != this->deathCount)
        co_return;
    auto listing = readListing(*response);
    if (auto* read = std::get_if<EngineListing>(&listing))
        this->emit(std::move(*read));
}

} // namespace peridotgrade
