#pragma once

#include "base/time.h"
#include "endpoint/endpointlifetime.h"
#include "http/httpmessages.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::detail {

// Parts of the messages between entry VMs: HTTP with CBOR bodies. All functions are thread-safe.

inline constexpr char relayPath[] = "/relay";
inline constexpr char deadlineField[] = "X-Flamingo-Deadline-Ms";
inline constexpr char notRunField[] = "X-Flamingo-Not-Run";
inline constexpr char retryAfterField[] = "X-Flamingo-Retry-After-Ms";
// Attempts for each shard that the called VM may make, and those that it made before it returned the request.
inline constexpr char grantedAttemptsField[] = "X-Flamingo-Granted-Attempts";
inline constexpr char usedAttemptsField[] = "X-Flamingo-Used-Attempts";
// An endpoint that leaves: its incarnation, a space and its id. May appear more than once.
inline constexpr char leavingEndpointField[] = "X-Flamingo-Leaving-Endpoint";

// Customer and priority of the caller's request, by which the called VM orders the requests that wait for room.
inline constexpr char customerField[] = "X-Flamingo-Customer";
inline constexpr char priorityField[] = "X-Flamingo-Priority";

/** Parses a message; the result is discarded if it is malformed or nested too deeply for nlohmann's parser. */
nlohmann::json parseMessage(const std::string& body);

/** Reads an integer; throws std::out_of_range if it does not fit, where Json::get() would wrap it. */
template <typename Integer> Integer readInteger(const nlohmann::json& json)
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > std::numeric_limits<Integer>::max())
        throw std::out_of_range("an integer is negative, too large or of another type");
    return json.get<Integer>();
}

/** Reads a list of texts; throws an exception for a value of another type. */
std::vector<std::string> readStrings(const nlohmann::json& json);

/** Parses a number of milliseconds; returns 0 if it is malformed. */
Milliseconds readMilliseconds(std::string_view text);

/** Returns how long the calling VM still waits, as the message states it; 0 if it does not. */
Milliseconds readTimeLeft(const HttpRequest& http);

/** Parses a number of attempts; returns nothing if it is malformed. */
std::optional<std::uint32_t> readAttempts(std::string_view text);

/** Names the endpoints that said in answers that they leave. */
void appendLeavingEndpoints(HttpResponse& response, const std::vector<EndpointLifetime>& endpoints);

/** Parses one of these endpoints; returns nothing if it is malformed. */
std::optional<EndpointLifetime> readLeavingEndpoint(std::string_view text);

/** Marks the response as a refusal: the request has not run. */
void appendRefusal(HttpResponse& response, Milliseconds retryAfter);

} // namespace flamingo::detail
