// Tests that documents are read as by the JSON library, up to the limit of nesting.
#include "boundedjson.h"

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using Json = nlohmann::json;

Json nested(std::size_t depth)
{
    Json document = 7;
    for (std::size_t level = 0; level < depth; ++level) {
        document = level % 2 == 0 ? Json::array({1, std::move(document), "after"}) : Json{{"a", 1}, {"in", std::move(document)}, {"z", 2}};
    }
    return document;
}

std::string toCbor(const Json &document)
{
    std::string bytes;
    Json::to_cbor(document, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

TEST(BoundedJson, DocumentsAreReadAsByTheLibrary)
{
    for (const char *text : {"null", "true", "-7", "7", "18446744073709551615", "0.25", "1e300", "\"\"", "\"text \\u00e9\"", "[]", "{}",
             R"({"a":[1,-2,3.5,"x",null,{"b":{}},[]],"a2":{"c":[[],[{}]]},"twice":1,"twice":[2]})", "", "[", "[1,", "{\"a\":", "[1]]", "1e400", "\"\xff\"",
             "nul", "[1 2]"}) {
        EXPECT_EQ(parseBoundedJson(text).is_discarded(), Json::parse(text, nullptr, false).is_discarded()) << text;
        if (!Json::parse(text, nullptr, false).is_discarded()) {
            EXPECT_EQ(parseBoundedJson(text), Json::parse(text)) << text;
            EXPECT_EQ(parseBoundedCbor(toCbor(Json::parse(text))), Json::parse(text)) << text;
        }
    }
    Json large = Json::array();
    for (int number = 0; number < 70'000; ++number) {
        large.push_back(Json::array({number, std::string(static_cast<std::size_t>(number % 300), 'x'), number * 0.5}));
    }
    EXPECT_EQ(parseBoundedCbor(toCbor(large)), large);
    EXPECT_EQ(parseBoundedJson(large.dump()), large);
}

TEST(BoundedJson, NestingIsLimited)
{
    EXPECT_EQ(parseBoundedJson(nested(maxNestingDepth).dump()), nested(maxNestingDepth));
    EXPECT_EQ(parseBoundedCbor(toCbor(nested(maxNestingDepth))), nested(maxNestingDepth));
    EXPECT_TRUE(parseBoundedJson(nested(maxNestingDepth + 1).dump()).is_discarded());
    EXPECT_TRUE(parseBoundedCbor(toCbor(nested(maxNestingDepth + 1))).is_discarded());
}

TEST(BoundedJson, TruncatedRecordsAreRejected)
{
    const std::string bytes = toCbor(nested(5));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_TRUE(parseBoundedCbor(std::string_view(bytes).substr(0, size)).is_discarded()) << size;
    }
    EXPECT_TRUE(parseBoundedCbor(bytes + "\x01").is_discarded());
}

}
}
