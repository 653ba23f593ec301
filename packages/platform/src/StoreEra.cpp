#include "boragerack/platform/StoreEra.h"

#include <charconv>

#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::platform {

std::uint64_t parseEra(const runtime::HttpResponse &response, std::string_view header)
{
    const std::string_view text = runtime::findHeader(response.headers, header);
    std::uint64_t era = 0;
    std::from_chars(text.data(), text.data() + text.size(), era);
    return era;
}

} // namespace boragerack::platform
