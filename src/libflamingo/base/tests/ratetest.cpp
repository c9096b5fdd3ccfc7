#include "base/rate.h"

#include <catch2/catch.hpp>

using namespace flamingo;

TEST_CASE("a rate is a decimal number of at least 0", "[base]")
{
    CHECK(parseRate("25.8") == RequestsPerSecond(25.8));
    CHECK(parseRate("0") == RequestsPerSecond(0.0));
    for (const char* text : { "", "-1", "nan", "inf", "1e999", "5 ", "5/s", "five" })
        CHECK_FALSE(parseRate(text));
}
