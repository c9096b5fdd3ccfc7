#include "consensus/memberview.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace flamingo {

namespace {

constexpr std::size_t kColumns = 7;
using Row = std::array<std::string, kColumns>;

Row rowOf(const MemberView& view)
{
    std::string role = view.m_member.m_voter ? "voter" : "learner";
    if (view.m_leader)
        role = "leader";
    std::string state = view.m_receivingSnapshot ? "receiving snapshot" : "";
    if (view.m_self)
        state = "this VM";
    return { view.m_member.m_id.value(), view.m_member.m_address, role,
        view.m_matchIndex ? std::to_string(view.m_matchIndex->value()) : "-",
        view.m_lag ? std::to_string(*view.m_lag) : "-",
        view.m_timeSinceAnswer ? std::to_string(view.m_timeSinceAnswer->count()) + " ms" : "-", state };
}

} // namespace

std::string formatMemberTable(const std::vector<MemberView>& members)
{
    std::vector<Row> rows { Row { "member", "address", "role", "durable index", "entries behind", "last answer", "" } };
    std::transform(members.begin(), members.end(), std::back_inserter(rows), rowOf);
    std::array<std::size_t, kColumns> widths {};
    for (const Row& row : rows) {
        for (std::size_t i = 0; i < kColumns; ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string table;
    for (const Row& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < kColumns; ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        table += line + "\n";
    }
    return table;
}

} // namespace flamingo
