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

/** Returns the JSON object in the body, or nothing and the reason. Bounds the nesting. Thread-safe. */
std::optional<nlohmann::json> parseJsonObject(std::string_view body, Reason& reason);

/**
 * Reads the fields of one JSON object strictly.
 *
 * Each method returns a default and fills the reason with the field's name on the first error.
 * finish() also refuses fields that nobody asked for. Thread safety: none. The object and the reason
 * outlive the reader.
 */
class JsonFields {
public:
    enum Presence {
        Required,
        Optional,
    };

    /** Reads an object whose own path (for example "holdings[2].") precedes names in errors. */
    JsonFields(const nlohmann::json& object, std::string path, Reason& reason);

    /** Returns 1 to 128 visible ASCII characters; such names are safe in HTTP headers and logs. */
    std::string name(const char* field, Presence presence);

    /** Returns any string. */
    std::string text(const char* field, Presence presence);

    /** Returns a string as it is, or an object or array as its compact JSON text. */
    std::string payload(const char* field, Presence presence);

    /** Returns an integer within the bounds. */
    std::optional<std::uint64_t> integer(const char* field, Presence presence, std::uint64_t low, std::uint64_t high);

    /** Returns a number from 0 to 1. */
    std::optional<double> fraction(const char* field, Presence presence);

    /** Returns an array of at most the given size, or null if it is absent or wrong. */
    const nlohmann::json* array(const char* field, Presence presence, std::size_t maxSize);

    /** Returns whether all fields were right and known. */
    bool finish();

    /** Records an error about a field. */
    void fail(const std::string& field, const std::string& text);

private:
    const nlohmann::json* find(const char* field, Presence presence);

    const nlohmann::json& m_object;
    const std::string m_path;
    Reason& m_reason;
    std::set<std::string> m_known;
    bool m_failed = false;
};

} // namespace flamingo::detail
