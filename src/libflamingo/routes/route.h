#pragma once

#include "base/idempotence.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace flamingo {

/** Which requests a route is for; no two routes share a key. */
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

/** A service that gets a part of a route's requests. */
struct RouteTarget {
    ServiceName m_service;
    double m_weight = 1.0; // share of the requests in proportion to the other targets
};

/**
 * Where requests go, and how they are treated on the way.
 *
 * A route either has targets, of which each request uses one, or shards, all of which each request asks.
 */
struct Route {
    RouteKey m_key;
    std::string m_name;
    Idempotence m_idempotence = Idempotence::NonIdempotent;
    Milliseconds m_timeout { 1000 }; // longest time until the final answer
    Milliseconds m_goal { 0 }; // response time within which an answer is worth most; 0 for none
    std::uint32_t m_priority = 0; // 0 is the most urgent
    std::uint32_t m_maxAttempts = 1; // endpoints that may run one request, for each shard
    std::vector<RouteTarget> m_targets;
    std::vector<ServiceName> m_shards;
    std::uint32_t m_topRecords = 0; // greatest records of an answer merged from shards
    double m_shardFloor = 0.0; // least share of the shards that makes an answer
};

/** A service that routes name. */
struct RoutedService {
    ServiceName m_name;
    std::string m_healthPath;
    std::uint32_t m_connectionsPerEndpoint = 1; // that an endpoint accepts from the whole system
};

} // namespace flamingo
