// Tests of the datagrams between entries: guards against senders that are no members.
#include "peridotgrade/gateway/peer_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

Endpoint freeAddress(boost::asio::io_context& context)
{
    boost::asio::ip::udp::socket socket(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return { "127.0.0.1", socket.local_endpoint().port() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerSocketTest)

BOOST_AUTO_TEST_CASE(onlyDatagramsOfPeersAreReceived)
{
    boost::asio::io_context context;
    std::vector<std::string> received;
    PeerSocket receiver(context.get_executor());
    receiver.setDefaultHandler(
        [&](const Endpoint&, std::string_view datagram) { received.emplace_back(datagram); });
    PeerSocket sender(context.get_executor());
    Endpoint at = freeAddress(context);
    Endpoint from = freeAddress(context);
    BOOST_REQUIRE(!receiver.listen(at));
    BOOST_REQUIRE(!sender.listen(from));
    sender.send(at, "of a stranger");
    context.run_for(100ms);
    BOOST_TEST(received.empty());
    BOOST_TEST(receiver.dropped() == 1U);
    receiver.setPeers({ from });
    sender.send(at, "of a peer");
    sender.send(at, std::string(5000, 'x'));
    context.run_for(100ms);
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received[0] == "of a peer");
    BOOST_TEST(sender.dropped() == 1U);
    PeerSocket second(context.get_executor());
    auto error = second.listen(at);
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST(error->detail.find("peerListen") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(firstByteDecidesWhoGetsADatagram)
{
    // Guards against notices that reach the quotas, and against a component whose messages get lost when
    // another one uses the socket.
    boost::asio::io_context context;
    std::vector<std::string> received;
    PeerSocket receiver(context.get_executor());
    PeerSocket sender(context.get_executor());
    Endpoint at = freeAddress(context);
    Endpoint from = freeAddress(context);
    BOOST_REQUIRE(!receiver.listen(at));
    BOOST_REQUIRE(!sender.listen(from));
    receiver.setPeers({ from });
    receiver.setHandler('n', [&](const Endpoint&, std::string_view datagram) {
        received.push_back("notice " + std::string { datagram });
    });
    sender.send(at, "q1");
    context.run_for(100ms);
    BOOST_TEST(receiver.dropped() == 1U);
    receiver.setDefaultHandler([&](const Endpoint&, std::string_view datagram) {
        received.push_back("other " + std::string { datagram });
    });
    for (std::string_view datagram : { "q2", "n3", "" })
        sender.send(at, datagram);
    context.restart();
    context.run_for(100ms);
    std::vector<std::string> expected { "other q2", "notice n3", "other " };
    BOOST_TEST(received == expected);
}

BOOST_AUTO_TEST_SUITE_END()
