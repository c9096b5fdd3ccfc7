#include "query/hitmerge.h"
#include "naivequery.h"

#include <catch2/catch.hpp>

using namespace flamingo;
using namespace flamingo::testing;

TEST_CASE("hits are scanned from shard bodies and merged", "[query]")
{
    SECTION("the slice of a hit is the complete text of its JSON object")
    {
        const std::string body = R"( [ {"key":"a\"}]","score":1.5,"data":{"key":"inner","score":9,"x":[{},"}"]}} ,)"
                                 R"({ "score" : -2e1, "data":null, "key":"\u00e9" }] )";
        const auto hits = scanHits(body);
        REQUIRE(hits);
        REQUIRE(hits->size() == 2);
        CHECK(hits->at(0).m_key == "a\"}]");
        CHECK(hits->at(0).m_score == 1.5);
        CHECK(hits->at(1).m_key == "\xC3\xA9");
        CHECK(hits->at(1).m_score == -20.0);
        for (const ScannedHit& hit : *hits) {
            rapidjson::Document slice;
            slice.Parse(body.data() + hit.m_offset, hit.m_length);
            CHECK_FALSE(slice.HasParseError());
            CHECK(slice.IsObject());
        }
        CHECK(scanHits("[]")->empty());
    }

    SECTION("a body that would corrupt the merged array or overflow the stack is rejected")
    {
        const std::string deep = std::string(100000, '[') + std::string(100000, ']');
        for (const std::string& body : { std::string(), std::string("{}"), std::string("[1]"), std::string("[[]]"),
                 std::string(R"([{"score":1}])"), std::string(R"([{"key":"a"}])"),
                 std::string(R"([{"score":"1","key":"a"}])"), std::string(R"([{"score":1,"key":2}])"),
                 std::string(R"([{"score":1,"key":"a"})"), std::string(R"([{"score":1,"key":"a"}] x)"),
                 std::string(R"([{"score":NaN,"key":"a"}])"), std::string("[{\"score\":1,\"key\":\"\xFF\"}]"),
                 std::string(R"([{"score":1,"score":2,"key":"a"}])"), std::string(R"([{"score":1e999,"key":"a"}])"),
                 std::string(R"([{"score":1,"key":"a"}])") + '\0', std::string("[{\"score\":1,\"key\":\"a\0\"}]", 23),
                 std::string(R"([{"score":1,"key":"abcdefgh)") + "\xC3(" + R"("}])", deep,
                 R"([{"score":1,"key":"a","data":)" + deep + "}]" }) {
            INFO(body.substr(0, 60));
            CHECK_FALSE(scanHits(body));
        }
    }

    SECTION("equal hits of different shards are all kept, and repeated keys of one shard are merged")
    {
        HitMerger merger;
        merger.m_limit = 3;
        const std::string first = R"([{"score":1,"key":"b"},{"score":3,"key":"a"},{"score":2,"key":"a"}])";
        const std::string second = R"([{"score":1,"key":"a"},{"score":3,"key":"a"}])";
        REQUIRE(addShardHits(merger, ShardIndex(1), first));
        REQUIRE(addShardHits(merger, ShardIndex(0), second));
        CHECK_FALSE(addShardHits(merger, ShardIndex(2), "[{]"));
        CHECK(mergedHits(merger) == R"([{"score":3,"key":"a"},{"score":3,"key":"a"},{"score":1,"key":"b"}])");
        CHECK(naiveMerge({ { 1, first }, { 0, second } }, 3) == mergedHits(merger));
    }
}
