// Printing of answers and errors.
#pragma once

#include "exit_status.h"
#include "node_client.h"

#include <boost/json/value.hpp>

#include <string>

namespace peridotgrade::ctl {

/// Prints what went wrong on a connection.
int reportUnreachable(const NodeAnswer& answer);
/// Prints the error body of a response and gives the status that fits.
int reportError(const HttpResponse& response, bool isJson);
/// The body as JSON; null if it is none.
boost::json::value bodyOf(const HttpResponse& response);
/// A text member, or empty.
std::string stringMember(const boost::json::value& object, const char* key);
/// A whole number, or 0.
std::uint64_t numberMember(const boost::json::value& object, const char* key);
bool boolMember(const boost::json::value& object, const char* key);

} // namespace peridotgrade::ctl
