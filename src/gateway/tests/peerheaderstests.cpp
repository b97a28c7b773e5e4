#include "gateway/internal/peerheaders.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;

// Guards against a request that is sent a second time, or reported as not run, after a peer has accepted it and failed to answer.
TEST_CASE("A peer declines a forwarded request only by an answer that is given instead of accepting it")
{
    http::Response answer;

    SECTION("an answer of a peer that has accepted the request does not decline it, whatever its status")
    {
        answer.headers.add(PeerAnswerHeader, "1");
        for (const int status : {200, 429, 500, 502, 503}) {
            answer.status = status;
            CHECK_FALSE(declines(answer));
        }
    }
    SECTION("a refusal before the request is handled declines it")
    {
        for (const int status : {403, 408, 431, 503}) {
            answer.status = status;
            CHECK(declines(answer));
        }
    }
    SECTION("the answer of a peer whose handling of the request has failed does not decline it, although it lacks the header")
    {
        answer.status = 500;
        CHECK_FALSE(declines(answer));
    }
}
