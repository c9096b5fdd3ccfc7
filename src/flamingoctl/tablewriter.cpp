#include "tablewriter.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace flamingo::ctl {

using Json = nlohmann::ordered_json;

namespace {

std::string cellText(const Json& value)
{
    std::string text = value.is_string() ? value.get<std::string>()
        : value.is_null()                ? ""
                                         : value.dump(-1, ' ', false, Json::error_handler_t::replace);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
    return text;
}

/** Returns the number of characters in a UTF-8 string. */
std::size_t width(const std::string& text)
{
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](unsigned char c) { return (c & 0xC0U) != 0x80; }));
}

std::string tableLine(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
{
    std::string text;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        text += cells[i];
        if (i + 1 < cells.size())
            text += std::string(widths[i] - width(cells[i]) + 2, ' ');
    }
    while (!text.empty() && text.back() == ' ')
        text.pop_back();
    return text + "\n";
}

} // namespace

std::string printTable(const Json& rows)
{
    std::vector<std::string> columns;
    for (const Json& row : rows) {
        if (!row.is_object())
            continue;
        for (const auto& field : row.items()) {
            if (std::find(columns.begin(), columns.end(), field.key()) == columns.end())
                columns.push_back(field.key());
        }
    }
    std::vector<std::size_t> widths;
    widths.reserve(columns.size());
    for (const std::string& column : columns)
        widths.push_back(width(column));
    std::vector<std::vector<std::string>> lines;
    for (const Json& row : rows) {
        if (!row.is_object())
            continue;
        std::vector<std::string> cells;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            cells.push_back(row.contains(columns[i]) ? cellText(row[columns[i]]) : "");
            widths[i] = std::max(widths[i], width(cells.back()));
        }
        lines.push_back(std::move(cells));
    }
    if (lines.empty())
        return "(no rows)\n";
    std::string text = tableLine(columns, widths);
    for (const auto& cells : lines)
        text += tableLine(cells, widths);
    return text;
}

std::string printAnswer(const Json& answer)
{
    std::string text;
    const bool hasRows = answer.contains("rows") && answer["rows"].is_array();
    if (hasRows)
        text += printTable(answer["rows"]);
    const int code = answer.value("code", 0);
    if (code != 0) {
        text += "error " + std::to_string(code) + " " + answer.value("name", "") + ": " + answer.value("text", "")
            + "\n";
    } else if (!hasRows) {
        text += "ok\n";
    }
    // Without a revision nothing was changed, so there is no rollout to report.
    const bool hasRevision = answer.value("revision", 0ULL) > 0;
    for (const auto& field : answer.items()) {
        const std::string& key = field.key();
        const bool isRolloutField = key == "revision" || key == "in_force" || key == "holders";
        if (isRolloutField && !hasRevision)
            continue;
        const bool isOmitted = key == "rows" || key == "code" || key == "name" || (key == "text" && code != 0);
        const std::string value = isOmitted ? "" : cellText(field.value());
        const bool isUnset = value.empty() || (key == "retry_after_ms" && value == "0");
        if (!isOmitted && !isUnset)
            text.append(key).append(": ").append(value).append("\n");
    }
    return text;
}

} // namespace flamingo::ctl
