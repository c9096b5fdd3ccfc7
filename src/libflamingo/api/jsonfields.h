#pragma once

#include "base/reason.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace flamingo::detail {

/** Parses a body as a JSON object of limited depth. Returns nothing and sets the reason if it fails. Thread-safe. */
std::optional<nlohmann::json> parseJsonObject(std::string_view body, Reason& reason);

/**
 * Reads the fields of one JSON object and refuses invalid, missing and unknown ones.
 *
 * The first error sets the reason, which names the field; the method returns a default then. finish() also refuses
 * fields that were never read. The object and the reason must outlive the reader. Not thread-safe.
 */
class JsonFields {
public:
    enum Presence {
        Required,
        Optional,
    };

    /** Creates a reader; the path of the object (for example "holdings[2].") precedes field names in errors. */
    JsonFields(const nlohmann::json& object, std::string path, Reason& reason);

    /** Returns a string of 1 to 128 visible ASCII characters, which is safe in HTTP headers and logs. */
    std::string name(const char* field, Presence presence);

    /** Returns any string. */
    std::string text(const char* field, Presence presence);

    /** Returns a string unchanged, or an object or array as compact JSON text. */
    std::string payload(const char* field, Presence presence);

    /** Returns an integer from low to high. */
    std::optional<std::uint64_t> integer(const char* field, Presence presence, std::uint64_t low, std::uint64_t high);

    /** Returns a number from 0 to 1. */
    std::optional<double> fraction(const char* field, Presence presence);

    /** Returns an array of at most the given size, or null if it is absent or invalid. */
    const nlohmann::json* array(const char* field, Presence presence, std::size_t maxSize);

    /** Returns whether all fields of the object were valid and known. */
    bool finish();

    /** Sets the reason to an error about a field, unless an earlier error has set it. */
    void fail(const std::string& field, const std::string& text);

private:
    const nlohmann::json* find(const char* field, Presence presence);

    const nlohmann::json& m_object;
    const std::string m_path;
    Reason& m_reason;
    std::set<std::string> m_readFields;
    bool m_failed = false;
};

} // namespace flamingo::detail
