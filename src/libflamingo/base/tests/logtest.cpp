#include "base/log.h"
#include "base/logsettings.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace flamingo;

namespace {

struct LogFile {
    LogFile()
        : m_path(std::filesystem::temp_directory_path() / ("flamingo-log-" + std::to_string(getpid())))
    {
    }
    ~LogFile()
    {
        stopLogging();
        std::filesystem::remove(m_path);
    }
    std::vector<std::string> lines() const
    {
        std::ifstream file(m_path);
        std::vector<std::string> lines;
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
        return lines;
    }
    std::filesystem::path m_path;
};

} // namespace

TEST_CASE("a log line holds the event followed by its fields")
{
    CHECK(detail::formatLogLine("T", LogLevel::Info,
              { "lease granted", { "revision", Revision(7) }, { "remaining_ms", std::chrono::seconds(3) },
                  { "admitted", true }, { "share", 0.5 }, LogField(RequestId("17-a")) })
        == "time=T level=info event=\"lease granted\" revision=7 remaining_ms=3000 admitted=true share=0.500000 "
           "request_id=17-a");
}

TEST_CASE("quoting and escaping keep values from forging lines or fields")
{
    CHECK(detail::formatLogLine("T", LogLevel::Error,
              { "x", { "a", "" }, { "b", "two words" }, { "c", "k=v" }, { "d", "say \"hi\" \\" },
                  { "e", "1\nlevel=error\r\t\x01" }, { "f", "ümlaut" } })
        == R"(time=T level=error event=x a="" b="two words" c="k=v" d="say \"hi\" \\" )"
           R"(e="1\nlevel=error\x0d\x09\x01" f=ümlaut)");
    CHECK(detail::formatLogLine("T", LogLevel::Warning, { "x", LogField(Reason { ResultCode::NoLease, "gone" }) })
        == "time=T level=warning event=x reason=\"1001 gone\"");
}

TEST_CASE("level names are parsed in lower case only")
{
    CHECK(parseLogLevel("warning") == LogLevel::Warning);
    CHECK_FALSE(parseLogLevel("WARNING"));
    CHECK_FALSE(parseLogLevel(""));
}

TEST_CASE("log lines are written to the file of the settings")
{
    LogFile file;
    Reason reason;
    CHECK_FALSE(isLogged(LogLevel::Error));
    FLAMINGO_LOG(Error, "before the start", { "a", 1 });
    REQUIRE(startLogging({ LogLevel::Info, file.m_path.string() }, reason));

    SECTION("lines below the configured level are dropped without building their fields")
    {
        int built = 0;
        const auto build = [&] { return ++built; };
        FLAMINGO_LOG(Debug, "too fine", { "n", build() });
        FLAMINGO_LOG(Info, "started", { "n", build() });
        FLAMINGO_LOG(Error, "no fields");
        stopLogging();
        const auto lines = file.lines();
        REQUIRE(lines.size() == 2);
        CHECK(std::regex_match(
            lines[0], std::regex(R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info event=started n=1)")));
        CHECK(lines[1].find("level=error event=\"no fields\"") != std::string::npos);
        CHECK(built == 1);
    }
    SECTION("lines of several threads are not interleaved, and a restart appends to the file")
    {
        std::vector<std::thread> threads;
        for (int thread = 0; thread < 4; ++thread) {
            threads.emplace_back([thread] {
                for (int i = 0; i < 1000; ++i)
                    FLAMINGO_LOG(Info, "step", { "thread", thread }, { "i", i });
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        REQUIRE(startLogging({ LogLevel::Warning, file.m_path.string() }, reason));
        FLAMINGO_LOG(Info, "hidden");
        FLAMINGO_LOG(Warning, "shown");
        stopLogging();
        const auto lines = file.lines();
        CHECK(lines.size() + droppedLogLines() == 4001);
        CHECK(lines.back().find("event=shown") != std::string::npos);
        const std::regex whole(R"(time=\S+ level=\w+ event=\w+( thread=\d i=\d+)?)");
        for (const std::string& line : lines)
            REQUIRE(std::regex_match(line, whole));
    }
    SECTION("a file that cannot be opened is an error, and logging continues to the previous file")
    {
        CHECK_FALSE(startLogging({ LogLevel::Info, "/nonexistent/log" }, reason));
        CHECK(reason.m_code == ResultCode::InvalidSettings);
        CHECK(reason.m_text.find("/nonexistent/log") != std::string::npos);
        FLAMINGO_LOG(Info, "still");
        stopLogging();
        CHECK(file.lines().size() == 1);
    }
}
