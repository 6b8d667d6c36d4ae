// A server that sends prepared byte strings, for tests of clients.
#pragma once

#include "peridotgrade/net/endpoint.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

namespace asio = boost::asio;

/// Answers each request with the next of the given byte strings; an empty one closes the connection.
class ScriptedServer {
public:
    ScriptedServer(asio::io_context& context, std::deque<std::string> answers)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , answers(std::move(answers))
    {
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }
    int connections = 0;
    /// Heads of the received requests, in order.
    std::vector<std::string> heads;

private:
    static std::size_t bodySizeOf(const std::string& head)
    {
        constexpr std::string_view Name = "Content-Length: ";
        std::size_t at = head.find(Name);
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + Name.size()));
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            ++this->connections;
            asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        asio::streambuf buffer;
        while (!this->answers.empty()) {
            std::size_t size
                = co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::use_awaitable);
            std::string head(asio::buffers_begin(buffer.data()), asio::buffers_begin(buffer.data()) + size);
            this->heads.push_back(head);
            buffer.consume(size);
            std::size_t bodySize = bodySizeOf(head);
            if (buffer.size() < bodySize)
                co_await asio::async_read(
                    socket, buffer, asio::transfer_exactly(bodySize - buffer.size()), asio::use_awaitable);
            buffer.consume(bodySize);
            std::string answer = this->answers.front();
            this->answers.pop_front();
            if (answer.empty())
                co_return;
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor acceptor;
    std::deque<std::string> answers;
};

} // namespace peridotgrade
