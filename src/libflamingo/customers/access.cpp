#include "customers/access.h"

#include "customers/apikeydigest.h"

namespace flamingo {

AccessDecision decideAccess(const CustomerTable& table, const Route& route, const std::optional<std::string>& apiKey)
{
    if (!table.m_requiresKeys)
        return { true, nullptr };
    if (!apiKey)
        return { route.m_public, nullptr };
    const auto holder = table.m_holders.find(digestApiKey(*apiKey));
    if (holder == table.m_holders.end())
        return { route.m_public, nullptr };
    return { true, holder->second };
}

} // namespace flamingo
