// Versions of the VM list, and the control switches that publish them.
#include "vm_list.h"

#include <boost/json/serialize.hpp>

#include <stdexcept>

namespace peridotgrade::standins {

namespace json = boost::json;

namespace {

    bool hasName(const json::value& vm, const json::value& name) { return vm.as_object().at("name") == name; }

    void validateVm(const json::value& vm)
    {
        for (const char* key : { "name", "address", "data_centre", "service", "kind", "state" }) {
            if (!vm.as_object().at(key).is_string())
                throw std::invalid_argument(std::string { key } + " must be a string");
        }
    }

} // namespace

VmList::VmList(std::uint64_t lagMs)
    : lagMs(lagMs)
{
    this->publish({});
}

void VmList::addSwitches(ControlPort& control)
{
    control.addVariable("vm_lag_ms", this->lagMs);
    control.addSwitch("vms", [this](const json::value& vms) {
        for (const json::value& vm : vms.as_array())
            validateVm(vm);
        this->publish(vms.as_array());
    });
    control.addSwitch("add_vm", [this](const json::value& vm) { this->add(vm); });
    control.addSwitch("remove_vm", [this](const json::value& name) { this->remove(name); });
    control.addSwitch("leave_vm", [this](const json::value& name) { this->markLeaving(name); });
}

json::array VmList::visible()
{
    auto shown = StandinClock::now() - std::chrono::milliseconds { this->lagMs };
    while (this->versions.size() > 1 && this->versions[1].since <= shown)
        this->versions.pop_front();
    return this->versions.front().vms;
}

HttpResponse VmList::answer(const HttpRequest& request)
{
    std::string name = request.query("name");
    json::array shown;
    for (const json::value& vm : this->visible()) {
        if (name.empty() || hasName(vm, json::string(name)))
            shown.push_back(vm);
    }
    json::object body;
    body["vms"] = std::move(shown);
    HttpResponse response;
    response.body = json::serialize(body);
    std::string tag = '"' + std::to_string(std::hash<std::string> {}(response.body)) + '"';
    if (request.field("If-None-Match") == tag) {
        response.status = 304;
        response.body.clear();
    }
    response.fields.push_back(HttpField { "ETag", std::move(tag) });
    return response;
}

void VmList::add(const json::value& vm)
{
    validateVm(vm);
    this->remove(vm.as_object().at("name"));
    json::array vms = this->versions.back().vms;
    vms.push_back(vm);
    this->publish(std::move(vms));
}

void VmList::remove(const json::value& name)
{
    json::array remaining;
    for (const json::value& vm : this->versions.back().vms) {
        if (!hasName(vm, name))
            remaining.push_back(vm);
    }
    this->publish(std::move(remaining));
}

void VmList::markLeaving(const json::value& name)
{
    json::array vms = this->versions.back().vms;
    for (json::value& vm : vms) {
        if (hasName(vm, name))
            vm.as_object()["state"] = "leaving";
    }
    this->publish(std::move(vms));
}

void VmList::publish(json::array vms)
{
    ListVersion version;
    version.since = StandinClock::now();
    version.vms = std::move(vms);
    this->versions.push_back(std::move(version));
}

} // namespace peridotgrade::standins
