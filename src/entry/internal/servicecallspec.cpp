#include "entry/internal/servicecallspec.h"

#include "bookings/bookingkeys.h"
#include "entry/internal/refusals.h"

#include <algorithm>
#include <array>

namespace rosemaryshift::entry {

namespace {

constexpr std::string_view ServicesPath = "/services/";
constexpr std::size_t MaxIdempotencyKeyLength = 256;
constexpr std::array<std::string_view, 5> IdempotentMethods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
/// Headers that are addressed to this host and are not forwarded to a service.
constexpr std::array<std::string_view, 13> StrippedHeaders{"Authorization",
                                                           "Connection",
                                                           "Content-Length",
                                                           "Expect",
                                                           "Host",
                                                           "Idempotency-Key",
                                                           "Keep-Alive",
                                                           "Rosemaryshift-Class",
                                                           "Rosemaryshift-Deadline-Ms",
                                                           "Rosemaryshift-Forwarded",
                                                           "TE",
                                                           "Transfer-Encoding",
                                                           "X-Request-Id"};

bool isStripped(const http::Header &field)
{
    http::Headers probe;
    probe.add(field.name, "");
    return std::ranges::any_of(StrippedHeaders, [&](std::string_view name) { return probe.find(name).has_value(); });
}

bool isIdempotent(const templates::ServiceRoute &route, std::string_view method, std::string_view path)
{
    if (std::ranges::find(IdempotentMethods, method) != IdempotentMethods.end()) {
        return true;
    }
    return std::ranges::any_of(route.idempotentPosts, [path](const std::string &prefix) { return path.starts_with(prefix); });
}

}

std::optional<requests::RequestSpec> serviceSpec(const templates::WorkspaceTemplate &workspace, const http::Request &request, requests::Refusal &refusal)
{
    const std::string_view rest = std::string_view(request.target).substr(ServicesPath.size());
    const std::string_view name = rest.substr(0, rest.find_first_of("/?"));
    const templates::ServiceRoute *const route = workspace.service(name);
    if (route == nullptr) {
        refusal = notRunRefusal(404, "unknown_service", "the workspace has no service of this name");
        return std::nullopt;
    }
    requests::RequestSpec spec;
    spec.kind = requests::RequestKind::Service;
    spec.workspace = workspace.workspace;
    spec.target = route->name;
    spec.method = request.method;
    spec.path = std::string(rest.substr(name.size()));
    if (!spec.path.starts_with('/')) {
        spec.path.insert(spec.path.begin(), '/');
    }
    spec.idempotent = isIdempotent(*route, request.method, http::path(spec.path));
    spec.trafficClass = spec.idempotent ? TrafficClass::Lookup : TrafficClass::Booking;
    spec.idempotencyKey = std::string(request.headers.find("Idempotency-Key").value_or(""));
    if (!spec.idempotent && (spec.idempotencyKey.empty() || spec.idempotencyKey.size() > MaxIdempotencyKeyLength)) {
        refusal = notRunRefusal(400, "idempotency_key_required", "a call that may not be repeated needs an Idempotency-Key of 1 to 256 characters");
        return std::nullopt;
    }
    if (!spec.idempotent && bookings::hasTicketPrefix(spec.idempotencyKey) && !bookings::parseTicket(spec.idempotencyKey)) {
        refusal = notRunRefusal(400, "invalid_ticket", "the Idempotency-Key begins like a ticket and is none");
        return std::nullopt;
    }
    for (const http::Header &field : request.headers.all()) {
        if (!isStripped(field)) {
            spec.headers.emplace_back(field.name, field.value);
        }
    }
    spec.body = request.body;
    return spec;
}

}
