// The codec's use of Thrift's compact protocol, with limits on size, list length and nesting.
#include "peridotgrade/wire/codec.h"

#include "convert_unions.h"
#include "convert_values.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace peridotgrade {

namespace {

    using apache::thrift::TConfiguration;
    using apache::thrift::TException;
    using apache::thrift::protocol::TCompactProtocolT;
    using apache::thrift::protocol::TProtocolException;
    using apache::thrift::transport::TMemoryBuffer;
    using Protocol = TCompactProtocolT<TMemoryBuffer>;

    // Elements of one list. Thrift allocates a list before it reads the elements, so this limits how much
    // memory a short frame can make it allocate.
    constexpr std::int32_t MaxListElements = 65'536;
    constexpr int MaxNesting = 16;

    const std::shared_ptr<TConfiguration>& limits()
    {
        static const auto Limits = std::make_shared<TConfiguration>(
            static_cast<int>(MaxFrameBytes), static_cast<int>(MaxFrameBytes), MaxNesting);
        return Limits;
    }

    template <typename WireFrame> std::string encodeFrame(const WireFrame& frame)
    {
        auto buffer = std::make_shared<TMemoryBuffer>();
        Protocol protocol(buffer);
        frame.write(&protocol);
        return buffer->getBufferAsString();
    }

    WireError wireErrorFrom(const TException& error)
    {
        const auto* protocolError = dynamic_cast<const TProtocolException*>(&error);
        bool isTooLarge
            = protocolError != nullptr && protocolError->getType() == TProtocolException::SIZE_LIMIT;
        return WireError { isTooLarge ? WireErrorKind::TooLarge : WireErrorKind::Malformed, error.what() };
    }

    template <typename Frame, typename WireFrame>
    std::variant<Frame, WireError> decodeOrThrow(std::string_view bytes)
    {
        // Thrift takes a pointer to mutable bytes, but a buffer in OBSERVE mode only reads them.
        auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        auto buffer = std::make_shared<TMemoryBuffer>(
            data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, limits());
        Protocol protocol(buffer, static_cast<std::int32_t>(MaxFrameBytes), MaxListElements);
        WireFrame frame;
        frame.read(&protocol);
        auto message = fromWire(std::move(frame.message));
        if (!message)
            return WireError { WireErrorKind::Unknown, "frame contains no known message" };
        return Frame { std::move(*message), idFrom<HybridTime>(frame.clock) };
    }

    template <typename Frame, typename WireFrame>
    std::variant<Frame, WireError> decodeFrame(std::string_view bytes)
    {
        if (bytes.size() > MaxFrameBytes)
            return WireError { WireErrorKind::TooLarge,
                "frame of " + std::to_string(bytes.size()) + " bytes exceeds the limit" };
        try {
            return decodeOrThrow<Frame, WireFrame>(bytes);
        } catch (const TException& error) {
            return wireErrorFrom(error);
        } catch (const UnknownEnumerator& error) {
            return WireError { WireErrorKind::Unknown, error.what() };
        }
    }

    template <typename Message, typename Frame>
    std::variant<Message, WireError> messageOf(std::variant<Frame, WireError> decoded)
    {
        if (auto* error = std::get_if<WireError>(&decoded))
            return std::move(*error);
        return std::move(std::get<Frame>(decoded).message);
    }

} // namespace

std::string encode(const EntryMessage& message, HybridTime clock)
{
    wire::EntryFrame frame;
    frame.clock = rawOf(clock);
    frame.message = toWire(message);
    return encodeFrame(frame);
}

std::string encode(const AgentMessage& message, HybridTime clock)
{
    wire::AgentFrame frame;
    frame.clock = rawOf(clock);
    frame.message = toWire(message);
    return encodeFrame(frame);
}

std::variant<EntryFrame, WireError> decodeEntryFrame(std::string_view frame)
{
    return decodeFrame<EntryFrame, wire::EntryFrame>(frame);
}

std::variant<AgentFrame, WireError> decodeAgentFrame(std::string_view frame)
{
    return decodeFrame<AgentFrame, wire::AgentFrame>(frame);
}

std::variant<EntryMessage, WireError> decodeEntryMessage(std::string_view frame)
{
    return messageOf<EntryMessage>(decodeEntryFrame(frame));
}

std::variant<AgentMessage, WireError> decodeAgentMessage(std::string_view frame)
{
    return messageOf<AgentMessage>(decodeAgentFrame(frame));
}

} // namespace peridotgrade
