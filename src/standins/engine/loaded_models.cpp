// Execution of the commands load, unload and role.
#include "loaded_models.h"

#include "../common/json_body.h"

#include "peridotgrade/net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>

#include <algorithm>

namespace peridotgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds DownloadTimeout { 30'000 };

    bool isRole(const std::string& role) { return role == "prefill" || role == "decode" || role == "mixed"; }

} // namespace

LoadedModels::LoadedModels(asio::any_io_executor executor, EngineSettings& settings)
    : executor(std::move(executor))
    , settings(settings)
{
    for (const std::string& model : settings.models)
        this->models[model].version = settings.version;
}

void LoadedModels::describe(json::object& state) const
{
    json::array list;
    for (const auto& [name, model] : this->models) {
        json::object item;
        item["model"] = name;
        item["version"] = model.version;
        json::array adapters;
        for (const std::string& adapter : model.adapters)
            adapters.emplace_back(adapter);
        item["adapters"] = std::move(adapters);
        list.push_back(std::move(item));
    }
    json::array loadingNow;
    for (const std::string& name : this->loading)
        loadingNow.emplace_back(name);
    state["models"] = std::move(list);
    state["loading"] = std::move(loadingNow);
    state["fence"] = this->highestFence;
    state["checks_fence"] = this->settings.checksFence;
}

HttpResponse LoadedModels::applyCommand(const json::object& command)
{
    std::uint64_t fence = numberOf(command, "fence");
    if (this->settings.checksFence && fence < this->highestFence)
        return errorResponse(
            409, "stale_fence", "a command with a higher fencing token was already accepted");
    std::string kind = stringOf(command, "kind");
    std::string role = stringOf(command, "role");
    if (kind == "load")
        this->startLoad(command);
    else if (kind == "unload")
        this->models.erase(stringOf(command, "model"));
    else if (kind == "role" && isRole(role))
        this->settings.role = role;
    else
        return errorResponse(400, "invalid_request", "\"kind\" or \"role\" has an unknown value");
    this->highestFence = std::max(this->highestFence, fence);
    return jsonResponse(202, json::object {});
}

void LoadedModels::restart()
{
    ++this->incarnation;
    this->loading.clear();
    this->highestFence = 0;
}

void LoadedModels::startLoad(const json::object& command)
{
    std::string model = stringOf(command, "model");
    this->loading.insert(model);
    asio::co_spawn(this->executor,
        this->load(
            model, stringOf(command, "version"), stringOf(command, "adapter"), stringOf(command, "weights")),
        asio::detached);
}

asio::awaitable<void> LoadedModels::load(
    std::string model, std::string version, std::string adapter, std::string weights)
{
    std::uint64_t startIncarnation = this->incarnation;
    std::string target = "/weights/" + model + "/" + version;
    bool isLoaded = co_await this->download(std::move(target), std::move(weights));
    if (startIncarnation != this->incarnation)
        co_return;
    auto entry = this->loading.find(model);
    if (entry != this->loading.end())
        this->loading.erase(entry);
    if (this->settings.failLoads > 0) {
        --this->settings.failLoads;
        isLoaded = false;
    }
    if (!isLoaded)
        co_return;
    Model& loaded = this->models[model];
    if (loaded.version != version)
        loaded.adapters.clear();
    loaded.version = version;
    if (!adapter.empty())
        loaded.adapters.insert(adapter);
}

asio::awaitable<bool> LoadedModels::download(std::string target, std::string weights)
{
    auto store = parseEndpoint(weights);
    if (!store)
        co_return false;
    HttpClient client(this->executor, *store);
    HttpRequest request;
    request.target = std::move(target);
    auto opened = co_await client.open(std::move(request), DownloadTimeout);
    if (std::holds_alternative<NetError>(opened))
        co_return false;
    auto stream = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    if (stream->head().status != 200)
        co_return false;
    while (true) {
        auto part = co_await stream->read(DownloadTimeout);
        if (std::holds_alternative<NetError>(part))
            co_return false;
        if (std::get<std::string>(part).empty())
            co_return true;
    }
}

} // namespace peridotgrade::standins
