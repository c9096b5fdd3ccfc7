#include "base/units.h"
#include "base/nearestname.h"

#include <catch2/catch.hpp>

using namespace flamingo;

// Guards against durations and sizes in settings and statements that are wrong by a factor of 1000 or 1024.
TEST_CASE("Durations and sizes are read with their units")
{
    CHECK(parseDuration("200 ms") == Milliseconds(200));
    CHECK(parseDuration("1.5s") == Milliseconds(1500));
    CHECK(parseDuration("2 min") == Milliseconds(120000));
    CHECK(parseSize("64 MiB") == 67108864U);
    CHECK(parseSize("0.5 KiB") == 512U);
    for (const char* text : { "", "5", "ms", "-5 ms", "5 msec", "1e3 ms", "nan s", "5 5 ms", "9999999999999999 h" }) {
        CAPTURE(text);
        CHECK_FALSE(parseDuration(text));
    }
    for (const char* text : { "64", "64 MB", "-1 B", "99999999999 GiB" }) {
        CAPTURE(text);
        CHECK_FALSE(parseSize(text));
    }
    for (const int ms : { 0, 1, 999, 1000, 60000, 3600000, 3600001 })
        CHECK(parseDuration(printDuration(Milliseconds(ms))) == Milliseconds(ms));
    CHECK(printDuration(Milliseconds(90000)) == "90 s");
    CHECK(printSize(67108864) == "64 MiB");
}

// Guards against misleading suggestions, and against none for a simple typing error.
TEST_CASE("The nearest name is suggested only if its edit distance is small")
{
    const std::vector<std::string> names { "verses", "orders", "proofs" };
    CHECK(editDistance("kitten", "sitting") == 3);
    CHECK(nearestName("Verse", names) == "verses");
    CHECK(nearestName("ordres", names) == "orders");
    CHECK(nearestName("portal", names).empty());
    CHECK(nearestName("", names).empty());
    CHECK(nearestName(std::string(100000, 'x'), names).empty());
    CHECK(suggestion("profs", names) == "; did you mean 'proofs'?");
}
