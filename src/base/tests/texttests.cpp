#include "base/json.h"
#include "base/text.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;

SCENARIO("Text and JSON helpers reject malformed input")
{
    GIVEN("numbers in text form")
    {
        THEN("only unsigned decimal integers that fit 64 bits are accepted")
        {
            CHECK(parseUnsigned("0") == 0U);
            CHECK(parseUnsigned("18446744073709551615") == 18446744073709551615U);
            CHECK_FALSE(parseUnsigned("18446744073709551616"));
            CHECK_FALSE(parseUnsigned("-1"));
            CHECK_FALSE(parseUnsigned("12 "));
            CHECK_FALSE(parseUnsigned(""));
        }
        THEN("hexadecimal integers without a prefix are accepted, and written without leading zeros")
        {
            CHECK(parseHexadecimal("5c1e07a2") == 0x5c1e07a2U);
            CHECK(parseHexadecimal("ffffffffffffffff") == 0xffffffffffffffffU);
            CHECK_FALSE(parseHexadecimal("10000000000000000"));
            CHECK_FALSE(parseHexadecimal("0x1"));
            CHECK_FALSE(parseHexadecimal(""));
            CHECK(hexadecimal(0) == "0");
            CHECK(hexadecimal(0xffffffffffffffffU) == "ffffffffffffffff");
            CHECK(parseHexadecimal(hexadecimal(0xa0bU)) == 0xa0bU);
        }
    }
    GIVEN("names of headers in different cases")
    {
        THEN("only the case of ASCII letters is ignored")
        {
            CHECK(equalIgnoringCase("Keep-Alive", "keEP-aLIVE"));
            CHECK(equalIgnoringCase("", ""));
            CHECK_FALSE(equalIgnoringCase("Keep-Alive", "Keep-Aliv"));
            CHECK_FALSE(equalIgnoringCase("Keep-Alive", "Keep-Alivf"));
            CHECK_FALSE(equalIgnoringCase("a[", "A{"));
            CHECK_FALSE(equalIgnoringCase("\xe4", "\xc4"));
        }
    }
    GIVEN("JSON that is malformed or nested too deep")
    {
        std::string reason;
        THEN("parsing fails without an exception, and malformed JSON gives a reason")
        {
            CHECK_FALSE(parseJson("{\"a\":", reason));
            CHECK_FALSE(reason.empty());
            CHECK_FALSE(parseJson(std::string(10000, '['), reason));
            CHECK_FALSE(parseJson("{} trailing", reason));
        }
    }
    GIVEN("a known SHA-256 digest, and secrets that are equal or differ in content or length")
    {
        CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
        CHECK(equalSecrets("abc", "abc"));
        CHECK_FALSE(equalSecrets("abc", "abd"));
        CHECK_FALSE(equalSecrets("abc", "abcd"));
    }
}
