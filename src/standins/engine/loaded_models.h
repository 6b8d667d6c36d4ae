// Models, versions and adapters that the engine has loaded, and the commands that change them.
#pragma once

#include "engine_settings.h"

#include "peridotgrade/net/http_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace peridotgrade::standins {

/// Executes model commands. A load takes as long as the download from the weight store. Not thread safe.
class LoadedModels {
public:
    LoadedModels(boost::asio::any_io_executor executor, EngineSettings& settings);

    bool serves(const std::string& model) const { return this->models.count(model) > 0; }
    /// Adds `models`, `loading`, `fence` and `checks_fence`.
    void describe(boost::json::object& state) const;
    HttpResponse applyCommand(const boost::json::object& command);
    /// Simulates a restart: loads of earlier incarnations no longer take effect. Loaded models stay loaded.
    void restart();

private:
    struct Model {
        std::string version;
        std::set<std::string> adapters;
    };

    void startLoad(const boost::json::object& command);
    boost::asio::awaitable<void> load(
        std::string model, std::string version, std::string adapter, std::string weights);
    boost::asio::awaitable<bool> download(std::string target, std::string weights);

    boost::asio::any_io_executor executor;
    EngineSettings& settings;
    std::map<std::string, Model> models;
    std::multiset<std::string> loading;
    std::uint64_t highestFence = 0;
    std::uint64_t incarnation = 0;
};

} // namespace peridotgrade::standins
