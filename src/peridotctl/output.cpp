// Prints errors and reads members of JSON responses.
#include "output.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <iostream>

namespace peridotgrade::ctl {

namespace json = boost::json;

namespace {

    const json::value* memberOf(const json::value& object, const char* key)
    {
        return object.is_object() ? object.as_object().if_contains(key) : nullptr;
    }

    void printProblems(const json::value& error)
    {
        const json::value* problems = memberOf(error, "problems");
        if (problems == nullptr || !problems->is_array()) {
            std::cerr << stringMember(error, "type") << ": " << stringMember(error, "message") << "\n";
            return;
        }
        for (const json::value& problem : problems->as_array())
            std::cerr << stringMember(problem, "type") << ": " << stringMember(problem, "message") << "\n";
    }

} // namespace

int reportUnreachable(const NodeAnswer& answer)
{
    const NetError& error = std::get<NetError>(answer.result);
    std::cerr << toString(answer.node) << ": " << nameOf(error.kind) << ", " << error.detail << "\n";
    return Unreachable;
}

int reportError(const HttpResponse& response, bool isJson)
{
    if (isJson) {
        std::cout << response.body << "\n";
    } else {
        json::value body = bodyOf(response);
        const json::value* error = memberOf(body, "error");
        if (error != nullptr)
            printProblems(*error);
        else
            std::cerr << "status " << response.status << "\n";
    }
    if (response.status == 401)
        return Unauthorized;
    return response.status == 400 || response.status == 422 ? BadInput : Failed;
}

json::value bodyOf(const HttpResponse& response)
{
    boost::system::error_code failure;
    json::value body = json::parse(response.body, failure);
    return failure ? json::value {} : body;
}

std::string stringMember(const json::value& object, const char* key)
{
    const json::value* value = memberOf(object, key);
    return value != nullptr && value->is_string() ? std::string { value->as_string() } : std::string {};
}

std::uint64_t numberMember(const json::value& object, const char* key)
{
    const json::value* value = memberOf(object, key);
    boost::system::error_code ignored;
    return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(ignored) : 0;
}

bool boolMember(const json::value& object, const char* key)
{
    const json::value* value = memberOf(object, key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

} // namespace peridotgrade::ctl
