#pragma once

#include "base/time.h"
#include "settings/socketaddress.h"

#include <yaml-cpp/node/node.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::detail {

/** Errors found so far, in the form that operators see. */
struct SettingsErrors {
    std::string m_file;
    std::vector<std::string> m_lines;

    /** Adds "file:line: key: found F; allowed: A". */
    void add(const YAML::Mark& mark, const std::string& key, const std::string& found, const std::string& allowed);
};

/**
 * One map of the settings file.
 *
 * Each read marks its key as known and leaves the target as it is if the key is absent or wrong.
 * finish() reports the keys that no read has asked for. Not thread-safe.
 */
class SettingsSection {
public:
    /** The node may be absent; then nothing is read. The errors must outlive the section. */
    SettingsSection(const YAML::Node& node, std::string path, SettingsErrors& errors);

    /** Returns whether the section is present and a map. */
    bool isPresent() const { return m_present; }

    /** Returns the section under the key, perhaps an absent one. */
    SettingsSection section(const std::string& key);

    /** Returns the node under the key if it is a list. */
    std::vector<YAML::Node> list(const std::string& key);

    void text(const std::string& key, std::string& target);
    void name(const std::string& key, std::string& target);
    void flag(const std::string& key, bool& target);
    void number(const std::string& key, std::uint64_t low, std::uint64_t high, std::uint64_t& target);
    void number(const std::string& key, std::uint32_t low, std::uint32_t high, std::uint32_t& target);
    void port(const std::string& key, std::uint16_t& target);
    void duration(const std::string& key, Milliseconds low, Milliseconds high, Milliseconds& target);
    void size(const std::string& key, std::uint64_t low, std::uint64_t high, std::uint64_t& target);
    void fraction(const std::string& key, double& target);
    void ip(const std::string& key, std::string& target);
    void address(const std::string& key, SocketAddress& target);

    /** Returns the index of the word found, if the key holds one of them. */
    std::optional<std::size_t> word(const std::string& key, const std::vector<std::string>& words);

    /** Reports an error at the key, or at the section if the key is empty or absent. */
    void error(const std::string& key, const std::string& found, const std::string& allowed);

    /** Reports a key that must be present. */
    void require(const std::string& key, const std::string& allowed);

    /** Reports unknown and repeated keys. */
    void finish();

    /** Returns the keys in file order, for maps with free keys; they count as known. */
    std::vector<std::string> keys();

private:
    YAML::Node find(const std::string& key);
    std::optional<std::string> scalar(const std::string& key, const std::string& allowed);

    YAML::Node m_node;
    std::string m_path;
    SettingsErrors& m_errors;
    bool m_present;
    std::vector<std::string> m_known;
};

/** Returns the address of a text such as "10.0.0.1:8401", if it is valid. Thread-safe. */
std::optional<SocketAddress> parseSocketAddress(const std::string& text);

} // namespace flamingo::detail
