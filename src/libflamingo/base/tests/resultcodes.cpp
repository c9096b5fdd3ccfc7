#include "base/resultcode.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace flamingo;

namespace {

constexpr int maxCodeNumber = 9999;

std::string className(ResultCode code)
{
    switch (resultClass(code)) {
    case ResultClass::Success:
        return "success";
    case ResultClass::NotRun:
        return "refused";
    case ResultClass::Failed:
        return "failed";
    case ResultClass::UnknownOutcome:
        return "unknown";
    case ResultClass::BadInput:
        return "bad input";
    }
    return "";
}

std::vector<std::string> tableCells(const std::string& line)
{
    std::vector<std::string> result;
    std::istringstream stream(line.substr(1));
    std::string cell;
    while (std::getline(stream, cell, '|')) {
        const auto first = cell.find_first_not_of(' ');
        const auto last = cell.find_last_not_of(' ');
        result.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
    }
    return result;
}

} // namespace

// Guards against codes that callers receive and cannot look up, and against a table that contradicts the source.
TEST_CASE("docs/result-codes.md lists exactly the codes of the source")
{
    std::ifstream file(std::string(FLAMINGO_SOURCE_DIR) + "/docs/result-codes.md");
    REQUIRE(file);
    std::map<int, std::vector<std::string>> rows;
    std::string line;
    while (std::getline(file, line)) {
        if (line.size() < 3 || line[0] != '|' || line[2] < '0' || line[2] > '9')
            continue;
        const auto row = tableCells(line);
        CAPTURE(line);
        REQUIRE(row.size() == 5);
        CHECK(rows.emplace(std::stoi(row[0]), row).second);
    }
    for (int number = 0; number <= maxCodeNumber; ++number) {
        const auto code = static_cast<ResultCode>(number);
        const bool isListed = resultCodeName(code) != "Unlisted";
        CAPTURE(number);
        CHECK(isListed == (rows.count(number) == 1));
        if (!isListed || rows.count(number) == 0)
            continue;
        const auto& row = rows.at(number);
        CHECK(row[1] == resultCodeName(code));
        CHECK(row[2] == className(code));
        CHECK_FALSE(row[3].empty());
        CHECK_FALSE(row[4].empty());
    }
}
