// Tests of the VM list's parser and of the client's conditional requests.
#include "peridotgrade/services/vm_list_client.h"

#include "peridotgrade/net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(vm_list_client)

BOOST_AUTO_TEST_CASE(list_is_parsed_completely_or_rejected)
{
    auto list = parseVmList(R"({"vms":[{"name":"e1","address":"127.0.0.1:9","data_centre":"lj-a",)"
                            R"("service":"planwriter","kind":"engine","state":"leaving"}]})");
    const auto& vms = std::get<std::vector<VmRecord>>(list);
    BOOST_REQUIRE(vms.size() == 1u);
    BOOST_TEST(vms[0].name == "e1");
    BOOST_TEST((vms[0].state == VmState::Leaving));
    BOOST_TEST((vms[0].dataCentre == DataCentreId { "lj-a" }));
    for (const char* text : { "", "[]", R"({"vms":1})",
             R"({"vms":[{"name":"e1","address":"x","kind":"engine","state":"asleep"}]})" })
        BOOST_TEST(std::holds_alternative<VmListError>(parseVmList(text)));
}

BOOST_AUTO_TEST_CASE(unchanged_list_is_not_sent_again)
{
    namespace asio = boost::asio;
    asio::io_context context;
    std::vector<std::string> targets;
    int unchanged = 0;
    HttpServerSettings settings;
    settings.listen = { "127.0.0.1", 0 };
    HttpServer server(context.get_executor(), settings, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        targets.push_back(exchange.request().target);
        HttpResponse response;
        bool isKnown = exchange.request().field("If-None-Match") == "\"7\"";
        unchanged += isKnown;
        response.status = isKnown ? 304 : 200;
        response.fields.push_back(HttpField { "ETag", "\"7\"" });
        if (!isKnown)
            response.body
                = R"({"vms":[{"name":"e 1","address":"127.0.0.1:9","kind":"engine","state":"live"}]})";
        co_await exchange.respond(std::move(response));
    });
    VmListClient client(context.get_executor(), std::get<Endpoint>(server.start()), "e 1");
    std::vector<std::size_t> sizes;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int poll = 0; poll < 3; ++poll) {
                auto list = co_await client.poll(std::chrono::seconds { 5 });
                sizes.push_back(std::get<std::vector<VmRecord>>(list).size());
            }
            context.stop();
        },
        asio::detached);
    context.run();
    BOOST_TEST(unchanged == 2);
    BOOST_TEST((sizes == std::vector<std::size_t> { 1, 1, 1 }));
    BOOST_TEST(targets.front() == "/vms?name=e%201");
}

BOOST_AUTO_TEST_SUITE_END()
