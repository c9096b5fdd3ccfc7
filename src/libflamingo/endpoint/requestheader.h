#pragma once

#include "endpoint/endpointcall.h"

#include <string>

namespace flamingo::detail {

/** Returns whether the call's texts fit into HTTP header lines. Thread-safe. */
bool hasValidHeaderTexts(const EndpointCall& call);

/**
 * Returns the HTTP header of the call's request, blank line included. Thread-safe.
 *
 * The call's texts must be valid; otherwise a caller could add header lines of its own.
 */
std::string requestHeader(const EndpointCall& call, Milliseconds remaining);

} // namespace flamingo::detail
