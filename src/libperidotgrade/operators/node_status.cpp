// JSON text of a process's configuration status.
#include "peridotgrade/operators/node_status.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace peridotgrade {

namespace {

    boost::json::object objectOf(const ReconcilerStatus& status)
    {
        boost::json::object object;
        object["wanted"] = status.wanted.raw();
        object["isInForce"] = status.isInForce;
        object["waitingFor"] = status.waitingFor;
        object["failures"] = status.failures;
        object["undone"] = status.undone;
        return object;
    }

} // namespace

std::string nodeStatusJson(const std::string& node, const std::string& kind,
    const ConfigurationFollower& follower, const std::optional<ReconcilerStatus>& engine)
{
    auto current = follower.current();
    boost::json::object object;
    object["node"] = node;
    object["kind"] = kind;
    object["version"] = current->version.raw();
    object["digest"] = std::to_string(current->digest);
    object["isReady"] = current->isReady;
    object["isLogAvailable"] = follower.isLogAvailable();
    if (engine)
        object["engine"] = objectOf(*engine);
    return boost::json::serialize(object);
}

} // namespace peridotgrade
