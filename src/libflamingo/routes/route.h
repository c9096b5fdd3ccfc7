#pragma once

#include "base/idempotence.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace flamingo {

/** Host and path prefix that select the requests of a route. Unique within a configuration. */
struct RouteKey {
    std::string m_host;
    std::string m_pathPrefix; // begins and ends with a slash

    friend bool operator==(const RouteKey& a, const RouteKey& b)
    {
        return a.m_host == b.m_host && a.m_pathPrefix == b.m_pathPrefix;
    }
    friend bool operator<(const RouteKey& a, const RouteKey& b)
    {
        return std::tie(a.m_host, a.m_pathPrefix) < std::tie(b.m_host, b.m_pathPrefix);
    }
};

/** A service that receives a share of a route's requests. */
struct RouteTarget {
    ServiceName m_service;
    double m_weight = 1.0; // relative to the weights of the other targets
};

/**
 * Where matching requests are forwarded, and how.
 *
 * A route has either targets, one of which receives each request, or shards, all of which receive each request and
 * whose answers are merged.
 */
struct Route {
    RouteKey m_key;
    std::string m_name;
    Idempotence m_idempotence = Idempotence::NonIdempotent;
    Milliseconds m_timeout { 1000 }; // maximum time until the final answer
    Milliseconds m_goal { 0 }; // target response time; 0 for none
    std::uint32_t m_priority = 0; // 0 is the most urgent
    std::uint32_t m_maxAttempts = 1; // maximum number of endpoints that may run a request, for each shard
    std::vector<RouteTarget> m_targets;
    std::vector<ServiceName> m_shards;
    std::uint32_t m_topRecords = 0; // number of greatest records that a merged answer contains
    double m_minAnsweredShare = 0.0; // least share of the shards, 0 to 1, that an answer must contain
    bool m_public = false; // needs no API key
};

/** A service that routes can refer to. */
struct RoutedService {
    ServiceName m_name;
    std::string m_healthPath;
    std::uint32_t m_connectionsPerEndpoint = 1; // connections that one endpoint accepts from all VMs together
};

} // namespace flamingo
