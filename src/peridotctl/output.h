// Printing of errors, and access to JSON responses.
#pragma once

#include "exit_status.h"
#include "node_client.h"

#include <boost/json/value.hpp>

#include <string>

namespace peridotgrade::ctl {

/// Prints the error of a connection and returns the exit status.
int reportUnreachable(const NodeAnswer& answer);
/// Prints the error in a response and returns the exit status for it.
int reportError(const HttpResponse& response, bool isJson);
/// The body as JSON; null if it is not JSON.
boost::json::value bodyOf(const HttpResponse& response);
/// A string member, or an empty string.
std::string stringMember(const boost::json::value& object, const char* key);
/// A number member as an unsigned integer, or 0.
std::uint64_t numberMember(const boost::json::value& object, const char* key);
/// A boolean member, or false.
bool boolMember(const boost::json::value& object, const char* key);

} // namespace peridotgrade::ctl
