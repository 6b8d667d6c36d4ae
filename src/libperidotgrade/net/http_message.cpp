// Look-up of header fields and query parameters.
#include "peridotgrade/net/http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>

namespace peridotgrade {

namespace {

    std::string_view findField(const std::vector<HttpField>& fields, std::string_view name)
    {
        for (const HttpField& field : fields) {
            if (boost::beast::iequals(field.name, name))
                return field.value;
        }
        return {};
    }

} // namespace

std::string_view HttpRequest::field(std::string_view name) const { return findField(this->fields, name); }

std::string_view HttpRequest::path() const
{
    return std::string_view { this->target }.substr(0, this->target.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    auto url = boost::urls::parse_origin_form(this->target);
    if (!url)
        return {};
    for (auto parameter : url->params()) {
        if (parameter.key == name)
            return parameter.value;
    }
    return {};
}

std::string_view HttpResponse::field(std::string_view name) const { return findField(this->fields, name); }

} // namespace peridotgrade
