// The VM list client's JSON format and conditional HTTP requests.
#include "peridotgrade/services/vm_list_client.h"

#include "peridotgrade/net/http_client.h"

#include <boost/json/parse.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <optional>
#include <string_view>

namespace peridotgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::uint16_t StatusOk = 200;
    constexpr std::uint16_t StatusNotModified = 304;

    std::string textIn(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        if (value == nullptr || !value->is_string())
            return {};
        return std::string { value->as_string() };
    }

    std::optional<VmKind> kindFrom(std::string_view text)
    {
        if (text == "engine")
            return VmKind::Engine;
        if (text == "application")
            return VmKind::Application;
        if (text == "entry")
            return VmKind::Entry;
        return std::nullopt;
    }

    std::optional<VmState> stateFrom(std::string_view text)
    {
        if (text == "live")
            return VmState::Live;
        if (text == "leaving")
            return VmState::Leaving;
        return std::nullopt;
    }

    std::optional<VmRecord> recordFrom(const json::value& value)
    {
        if (!value.is_object())
            return std::nullopt;
        const json::object& object = value.as_object();
        auto kind = kindFrom(textIn(object, "kind"));
        auto state = stateFrom(textIn(object, "state"));
        VmRecord record;
        record.name = textIn(object, "name");
        record.address = textIn(object, "address");
        record.dataCentre = DataCentreId { textIn(object, "data_centre") };
        record.service = ServiceId { textIn(object, "service") };
        if (!kind || !state || record.name.empty() || record.address.empty())
            return std::nullopt;
        record.kind = *kind;
        record.state = *state;
        return record;
    }

    VmListError malformed(std::string detail) { return { VmListErrorKind::Malformed, std::move(detail) }; }

} // namespace

std::variant<std::vector<VmRecord>, VmListError> parseVmList(const std::string& text)
{
    boost::system::error_code error;
    json::value body = json::parse(text, error);
    if (error || !body.is_object())
        return malformed("the VM list is not a JSON object");
    const json::value* vms = body.as_object().if_contains("vms");
    if (vms == nullptr || !vms->is_array())
        return malformed("the VM list has no array \"vms\"");
    std::vector<VmRecord> records;
    for (const json::value& value : vms->as_array()) {
        auto record = recordFrom(value);
        if (!record)
            return malformed("a VM has no valid name, address, kind or state");
        records.push_back(std::move(*record));
    }
    return records;
}

class VmListClient::Impl {
public:
    Impl(asio::any_io_executor executor, Endpoint platform, const std::string& vmName)
        : http(std::move(executor), std::move(platform))
        , target(vmName.empty() ? "/vms"
                                : "/vms?name=" + boost::urls::encode(vmName, boost::urls::unreserved_chars))
    {
    }

    HttpClient http;
    const std::string target;
    /// ETag of `lastList`; empty before the first list.
    std::string etag;
    std::vector<VmRecord> lastList;
};

VmListClient::VmListClient(asio::any_io_executor executor, Endpoint platform, std::string vmName)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(platform), vmName))
{
}

VmListClient::~VmListClient() = default;

asio::awaitable<std::variant<std::vector<VmRecord>, VmListError>> VmListClient::poll(
    std::chrono::milliseconds timeout)
{
    auto self = this->impl;
    HttpRequest request;
    request.target = self->target;
    if (!self->etag.empty())
        request.fields.push_back(HttpField { "If-None-Match", self->etag });
    auto result = co_await self->http.send(std::move(request), timeout);
    if (auto* error = std::get_if<NetError>(&result)) {
        VmListError unreachable;
        unreachable.detail = std::string { nameOf(error->kind) } + ": " + error->detail;
        co_return unreachable;
    }
    const HttpResponse& response = std::get<HttpResponse>(result);
    if (response.status == StatusNotModified)
        co_return self->lastList;
    if (response.status != StatusOk) {
        VmListError refused;
        refused.detail = "status " + std::to_string(response.status);
        co_return refused;
    }
    auto list = parseVmList(response.body);
    if (const auto* records = std::get_if<std::vector<VmRecord>>(&list)) {
        self->lastList = *records;
        self->etag = std::string { response.field("ETag") };
    }
    co_return list;
}

} // namespace peridotgrade
