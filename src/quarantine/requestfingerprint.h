#pragma once

#include <cstdint>
#include <string_view>

namespace rosemaryshift::quarantine {

/// What makes two requests equal: repetitions of a request by its caller agree in all of it.
struct RequestContent {
    std::string_view workspace; ///< Empty on routes that need no key.
    std::string_view host;
    std::string_view method;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/// Returns a number that equal requests have in common on all hosts, and others have not, within the limits of 64 bits of SHA-256. Thread-safe.
std::uint64_t requestFingerprint(const RequestContent &content);

}
