#pragma once

#include "base/time.h"
#include "settings/socketaddress.h"

#include <yaml-cpp/node/node.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::detail {

/** Errors found in a settings file, as messages for operators. */
struct SettingsErrors {
    std::string m_file;
    std::vector<std::string> m_lines;

    /** Adds "file:line: key: found F; allowed: A". */
    void add(const YAML::Mark& mark, const std::string& key, const std::string& found, const std::string& allowed);
};

/**
 * Reader for one map of the settings file.
 *
 * Each function that reads a value marks its key as known and leaves the target unchanged if the key is absent, has no
 * value or an invalid one. A key without a value ("grace:") counts as absent, since a template leaves it behind when it
 * has nothing to fill in. An invalid value is reported as an error. checkKeys() reports the keys that are not known.
 * Not thread-safe.
 */
class SettingsSection {
public:
    /** Creates a reader for the node. Nothing is read if the node is absent. The errors must outlive the section. */
    SettingsSection(const YAML::Node& node, std::string path, SettingsErrors& errors);

    /** Returns whether the section is present and a map. */
    bool isPresent() const { return m_present; }

    /** Returns the section under the key; isPresent() tells whether the file contains it. */
    SettingsSection section(const std::string& key);

    /** Returns the items of the list under the key; empty if it is absent or not a list. */
    std::vector<YAML::Node> list(const std::string& key);

    void text(const std::string& key, std::string& target);
    void name(const std::string& key, std::string& target);
    void flag(const std::string& key, bool& target);
    void number(const std::string& key, std::uint64_t low, std::uint64_t high, std::uint64_t& target);
    void number(const std::string& key, std::uint32_t low, std::uint32_t high, std::uint32_t& target);
    void port(const std::string& key, std::uint16_t& target);
    void duration(const std::string& key, Milliseconds low, Milliseconds high, Milliseconds& target);
    void size(const std::string& key, std::uint64_t low, std::uint64_t high, std::uint64_t& target);
    void decimal(const std::string& key, double low, double high, double& target);
    void ip(const std::string& key, std::string& target);
    void address(const std::string& key, SocketAddress& target);

    /** Returns the index of the word that the key holds, or nothing if it is absent or holds none of the words. */
    std::optional<std::size_t> choice(const std::string& key, const std::vector<std::string>& words);

    /** Reports an error at the line of the key, or of the section if the key is empty or absent. */
    void error(const std::string& key, const std::string& found, const std::string& allowed);

    /** Reports an error if the key is absent or has no value. */
    void require(const std::string& key, const std::string& allowed);

    /** Reports unknown and repeated keys. To be called after all values have been read. */
    void checkKeys();

    /** Returns the keys in file order, for maps whose keys are not fixed. */
    std::vector<std::string> keys();

private:
    bool hasValue(const std::string& key) const;
    YAML::Node find(const std::string& key);
    std::optional<std::string> scalar(const std::string& key, const std::string& allowed);

    YAML::Node m_node;
    std::string m_path;
    SettingsErrors& m_errors;
    bool m_present;
    std::vector<std::string> m_knownKeys;
};

/** Parses an address such as "10.0.0.1:8401"; returns nothing if it is invalid. Thread-safe. */
std::optional<SocketAddress> parseSocketAddress(const std::string& text);

} // namespace flamingo::detail
