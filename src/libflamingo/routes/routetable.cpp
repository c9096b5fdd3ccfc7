#include "routes/routetable.h"

#include <utility>

namespace flamingo {

void insertRoute(RouteTable& table, Route route)
{
    auto& prefixes = table.m_hosts[route.m_key.m_host];
    std::string prefix = route.m_key.m_pathPrefix;
    prefixes[std::move(prefix)] = std::make_shared<const Route>(std::move(route));
}

void eraseRoute(RouteTable& table, const RouteKey& key)
{
    const auto host = table.m_hosts.find(key.m_host);
    if (host == table.m_hosts.end())
        return;
    host->second.erase(key.m_pathPrefix);
    if (host->second.empty())
        table.m_hosts.erase(host);
}

RoutePtr findRoute(const RouteTable& table, std::string_view host, std::string_view target)
{
    const auto prefixes = table.m_hosts.find(host.substr(0, host.find(':')));
    if (prefixes == table.m_hosts.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can match. Tries the longest
    // first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

} // namespace flamingo
