#include "boragerack/runtime/HttpMessage.h"

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace boragerack::runtime {

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, name))
            return header.value;
    }
    return {};
}

std::string_view pathOf(const HttpRequest &request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

std::string queryParameter(const HttpRequest &request, std::string_view name)
{
    const auto url = boost::urls::parse_origin_form(request.target);
    if (!url)
        return {};
    const auto parameters = url->params();
    if (const auto found = parameters.find(name); found != parameters.end())
        return std::string((*found).value);
    return {};
}

} // namespace boragerack::runtime
