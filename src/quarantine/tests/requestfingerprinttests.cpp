#include "quarantine/requestfingerprint.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::quarantine;

TEST_CASE("Equal requests have the same fingerprint, and requests that differ have different ones")
{
    const RequestContent content{"yard", "yard.example", "POST", "/lookup/7?crate=2", "body"};
    const std::uint64_t fingerprint = requestFingerprint(content);
    CHECK(requestFingerprint(content) == fingerprint);

    SECTION("for another workspace, host, method, path, query or body")
    {
        CHECK(requestFingerprint({"office", "yard.example", "POST", "/lookup/7?crate=2", "body"}) != fingerprint);
        CHECK(requestFingerprint({"yard", "other.example", "POST", "/lookup/7?crate=2", "body"}) != fingerprint);
        CHECK(requestFingerprint({"yard", "yard.example", "PUT", "/lookup/7?crate=2", "body"}) != fingerprint);
        CHECK(requestFingerprint({"yard", "yard.example", "POST", "/lookup/8?crate=2", "body"}) != fingerprint);
        CHECK(requestFingerprint({"yard", "yard.example", "POST", "/lookup/7?crate=3", "body"}) != fingerprint);
        CHECK(requestFingerprint({"yard", "yard.example", "POST", "/lookup/7?crate=2", "body2"}) != fingerprint);
    }
    SECTION("also when bytes move from one field to the next")
    {
        CHECK(requestFingerprint({"yard", "yard.example", "POST", "/lookup/7?crate=2b", "ody"}) != fingerprint);
    }
}
