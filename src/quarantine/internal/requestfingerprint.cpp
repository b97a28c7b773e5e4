#include "quarantine/requestfingerprint.h"

#include "base/text.h"

#include <string>

namespace rosemaryshift::quarantine {

std::uint64_t requestFingerprint(const RequestContent &content)
{
    std::string text;
    // The lengths keep fields apart that together have the same bytes.
    for (const std::string_view field : {content.workspace, content.host, content.method, content.target, content.body}) {
        text += std::to_string(field.size());
        text += ':';
        text += field;
    }
    constexpr std::size_t HexDigits = 16;
    return parseHexadecimal(std::string_view(sha256Hex(text)).substr(0, HexDigits)).value_or(0);
}

}
