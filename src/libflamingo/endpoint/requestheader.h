#pragma once

#include "endpoint/endpointcall.h"

#include <string>

namespace flamingo::detail {

/** Returns whether the call's texts are valid in HTTP header lines. Thread-safe. */
bool hasValidHeaderTexts(const EndpointCall& call);

/**
 * Returns the HTTP header of the call's request, blank line included. Thread-safe.
 *
 * Precondition: hasValidHeaderTexts(). Otherwise a caller could inject header lines.
 */
std::string formatRequestHeader(const EndpointCall& call, Milliseconds remaining);

} // namespace flamingo::detail
