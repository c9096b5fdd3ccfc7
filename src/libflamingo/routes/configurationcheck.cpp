#include "routes/configurationcheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace flamingo {

namespace {

using Findings = std::vector<ConfigurationFinding>;

std::string formatNumber(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

std::string formatTime(Milliseconds time) { return std::to_string(time.count()) + " ms"; }

std::string formatNames(const std::vector<ServiceName>& names)
{
    return std::to_string(names.size()) + (names.size() == 1 ? " service" : " services");
}

std::string formatTargets(const Route& route)
{
    std::string text;
    for (const RouteTarget& target : route.m_targets)
        text += (text.empty() ? "" : ", ") + target.m_service.value() + " " + formatNumber(target.m_weight);
    return text;
}

// --- Findings.

void checkMatching(const Route& route, Findings& findings)
{
    const std::string subject = "route " + route.m_name;
    if (route.m_key.m_host.find(':') != std::string::npos)
        findings.push_back({ subject, "never matches: a port is not part of the host that is compared" });
    if (route.m_key.m_pathPrefix.find_first_of("?#") != std::string::npos)
        findings.push_back({ subject, "never matches: a query is not part of the path that is compared" });
}

void checkTimes(const Route& route, Findings& findings)
{
    const std::string subject = "route " + route.m_name;
    if (route.m_goal > route.m_timeout)
        findings.push_back({ subject,
            "the goal of " + formatTime(route.m_goal) + " is longer than the timeout of "
                + formatTime(route.m_timeout) });
}

void checkAttempts(const Route& route, Findings& findings)
{
    const std::string subject = "route " + route.m_name;
    if (route.m_maxAttempts == 0)
        findings.push_back({ subject, "no attempt is allowed; one is made all the same" });
}

void checkParts(const Route& route, Findings& findings)
{
    const std::string subject = "route " + route.m_name;
    for (const RouteTarget& target : route.m_targets) {
        if (target.m_weight == 0.0)
            findings.push_back(
                { subject, "service " + target.m_service.value() + " has weight 0 and gets no request" });
    }
    if (!route.m_shards.empty() && route.m_topRecords == 0)
        findings.push_back({ subject, "answers contain no records, since 0 of them are asked for" });
}

void checkAccess(const RouteConfiguration& configuration, Findings& findings)
{
    const std::vector<Route>& routes = configuration.m_routes;
    const bool allPublic
        = !routes.empty() && std::all_of(routes.begin(), routes.end(), [](const Route& r) { return r.m_public; });
    if (configuration.m_header.m_requiresKeys && allPublic && !configuration.m_customers.empty())
        findings.push_back({ "configuration", "no route needs a key, since all are public" });
    if (!configuration.m_header.m_requiresKeys) {
        for (const Route& route : routes) {
            if (route.m_public)
                findings.push_back({ "route " + route.m_name, "is public, but no route needs a key" });
        }
    }
    if (configuration.m_header.m_requiresKeys && configuration.m_customers.empty() && !allPublic)
        findings.push_back({ "configuration", "routes need a key, but there are no customers" });
}

void checkCustomer(const Customer& customer, Findings& findings)
{
    const std::string subject = "customer " + customer.m_name.value();
    const Quota& quota = customer.m_quota;
    if (customer.m_keys.empty())
        findings.push_back({ subject, "has no key and can send no request" });
    if (!quota.isLimited() && quota.m_burst > 0.0)
        findings.push_back({ subject, "has a burst without a rate, which limits nothing" });
    if (quota.isLimited() && quota.m_burst < 1.0)
        findings.push_back({ subject, "has a burst below one request; one is allowed all the same" });
}

void checkServices(const RouteConfiguration& configuration, Findings& findings)
{
    std::set<ServiceName> used;
    for (const Route& route : configuration.m_routes) {
        used.insert(route.m_shards.begin(), route.m_shards.end());
        for (const RouteTarget& target : route.m_targets)
            used.insert(target.m_service);
    }
    for (const RoutedService& service : configuration.m_services) {
        const std::string subject = "service " + service.m_name.value();
        if (used.count(service.m_name) == 0)
            findings.push_back({ subject, "no route leads to it" });
        if (service.m_connectionsPerEndpoint == 0)
            findings.push_back({ subject, "accepts no connections, so that no request reaches it" });
    }
}

void checkLimits(const CallerLimits& limits, Findings& findings)
{
    const std::string subject = "limits";
    if (limits.m_headerBytes == 0)
        findings.push_back({ subject, "no request has a head of 0 bytes" });
    if (limits.m_headerTimeout.count() == 0)
        findings.push_back({ subject, "no request arrives within 0 ms" });
    if (limits.m_idleTimeout.count() == 0)
        findings.push_back({ subject, "connections are closed before their first request" });
}

// --- Differences.

/** Collects the changed fields of one entry. */
class Changes {
public:
    void add(const char* field, const std::string& before, const std::string& after)
    {
        if (before != after)
            m_text += (m_text.empty() ? "" : "; ") + std::string(field) + " " + before + " -> " + after;
    }

    /** Adds the line of the entry, unless nothing has changed. */
    void finish(const std::string& subject, std::vector<std::string>& lines) const
    {
        if (!m_text.empty())
            lines.push_back(subject + ": " + m_text);
    }

private:
    std::string m_text;
};

std::string yesOrNo(bool value) { return value ? "yes" : "no"; }

void compare(const Route& before, const Route& after, std::vector<std::string>& lines)
{
    Changes changes;
    changes.add("name", before.m_name, after.m_name);
    changes.add("idempotent", yesOrNo(before.m_idempotence == Idempotence::Idempotent),
        yesOrNo(after.m_idempotence == Idempotence::Idempotent));
    changes.add("timeout", formatTime(before.m_timeout), formatTime(after.m_timeout));
    changes.add("goal", formatTime(before.m_goal), formatTime(after.m_goal));
    changes.add("priority", std::to_string(before.m_priority), std::to_string(after.m_priority));
    changes.add("attempts", std::to_string(before.m_maxAttempts), std::to_string(after.m_maxAttempts));
    changes.add("targets", formatTargets(before), formatTargets(after));
    if (before.m_shards != after.m_shards)
        changes.add("shards", formatNames(before.m_shards), "other " + formatNames(after.m_shards));
    changes.add("records", std::to_string(before.m_topRecords), std::to_string(after.m_topRecords));
    changes.add("minimum share", formatNumber(before.m_minAnsweredShare), formatNumber(after.m_minAnsweredShare));
    changes.add("public", yesOrNo(before.m_public), yesOrNo(after.m_public));
    changes.finish("route " + after.m_key.m_host + after.m_key.m_pathPrefix, lines);
}

void compare(const RoutedService& before, const RoutedService& after, std::vector<std::string>& lines)
{
    Changes changes;
    changes.add("health path", before.m_healthPath, after.m_healthPath);
    changes.add(
        "connections", std::to_string(before.m_connectionsPerEndpoint), std::to_string(after.m_connectionsPerEndpoint));
    changes.finish("service " + after.m_name.value(), lines);
}

void compare(const Customer& before, const Customer& after, std::vector<std::string>& lines)
{
    const auto priority = [](const Customer& customer) {
        return customer.m_priority ? std::to_string(*customer.m_priority) : std::string("that of the route");
    };
    const auto added = std::count_if(after.m_keys.begin(), after.m_keys.end(),
        [&before](const ApiKeyDigest& key) { return before.m_keys.count(key) == 0; });
    const auto removed = std::count_if(before.m_keys.begin(), before.m_keys.end(),
        [&after](const ApiKeyDigest& key) { return after.m_keys.count(key) == 0; });
    Changes changes;
    changes.add("rate", formatNumber(before.m_quota.m_rate.value()), formatNumber(after.m_quota.m_rate.value()));
    changes.add("burst", formatNumber(before.m_quota.m_burst), formatNumber(after.m_quota.m_burst));
    changes.add("priority", priority(before), priority(after));
    if (added + removed > 0)
        changes.add("keys", std::to_string(before.m_keys.size()),
            std::to_string(after.m_keys.size()) + " (" + std::to_string(added) + " added, " + std::to_string(removed)
                + " removed)");
    changes.finish("customer " + after.m_name.value(), lines);
}

void compare(const RouteHeader& before, const RouteHeader& after, std::vector<std::string>& lines)
{
    Changes changes;
    changes.add("version", std::to_string(before.m_version.value()), std::to_string(after.m_version.value()));
    changes.add("keys required", yesOrNo(before.m_requiresKeys), yesOrNo(after.m_requiresKeys));
    changes.add("head", std::to_string(before.m_limits.m_headerBytes) + " bytes",
        std::to_string(after.m_limits.m_headerBytes) + " bytes");
    changes.add("body", std::to_string(before.m_limits.m_bodyBytes) + " bytes",
        std::to_string(after.m_limits.m_bodyBytes) + " bytes");
    changes.add(
        "head timeout", formatTime(before.m_limits.m_headerTimeout), formatTime(after.m_limits.m_headerTimeout));
    changes.add("idle timeout", formatTime(before.m_limits.m_idleTimeout), formatTime(after.m_limits.m_idleTimeout));
    changes.finish("configuration", lines);
}

/** Adds the lines of a list of entries, matched by their keys. */
template <typename Entry, typename KeyOf, typename Describe>
void compareLists(const std::vector<Entry>& before, const std::vector<Entry>& after, const KeyOf& keyOf,
    const Describe& describe, std::vector<std::string>& lines)
{
    using Key = decltype(keyOf(before.front()));
    std::map<Key, const Entry*> old;
    for (const Entry& entry : before)
        old[keyOf(entry)] = &entry;
    for (const Entry& entry : after) {
        const auto found = old.find(keyOf(entry));
        if (found == old.end()) {
            lines.push_back(describe(entry) + ": added");
            continue;
        }
        compare(*found->second, entry, lines);
        old.erase(found);
    }
    for (const auto& [key, entry] : old)
        lines.push_back(describe(*entry) + ": removed");
}

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const RouteConfiguration& configuration)
{
    Findings findings;
    for (const Route& route : configuration.m_routes) {
        checkMatching(route, findings);
        checkTimes(route, findings);
        checkAttempts(route, findings);
        checkParts(route, findings);
    }
    checkServices(configuration, findings);
    checkAccess(configuration, findings);
    for (const Customer& customer : configuration.m_customers)
        checkCustomer(customer, findings);
    checkLimits(configuration.m_header.m_limits, findings);
    return findings;
}

std::vector<std::string> describeDifferences(const RouteConfiguration& before, const RouteConfiguration& after)
{
    std::vector<std::string> lines;
    compare(before.m_header, after.m_header, lines);
    compareLists(
        before.m_routes, after.m_routes, [](const Route& route) { return route.m_key; },
        [](const Route& route) { return "route " + route.m_key.m_host + route.m_key.m_pathPrefix; }, lines);
    compareLists(
        before.m_services, after.m_services, [](const RoutedService& service) { return service.m_name; },
        [](const RoutedService& service) { return "service " + service.m_name.value(); }, lines);
    compareLists(
        before.m_customers, after.m_customers, [](const Customer& customer) { return customer.m_name; },
        [](const Customer& customer) { return "customer " + customer.m_name.value(); }, lines);
    return lines;
}

} // namespace flamingo
