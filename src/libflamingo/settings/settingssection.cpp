#include "settings/settingssection.h"

#include "base/nearestname.h"
#include "base/units.h"

#include <boost/asio/ip/address.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <limits>
#include <locale>
#include <sstream>
#include <utility>

namespace flamingo::detail {

namespace {

constexpr std::uint64_t maxPort = 65535;
constexpr std::size_t maxNameBytes = 64;

template <typename Number> std::optional<Number> parseNumber(const std::string& text)
{
    Number number {};
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

// Returns the number as an operator would write it: "0.25", not "0.250000".
std::string printNumber(double number)
{
    std::ostringstream text;
    text.imbue(std::locale::classic());
    text << std::setprecision(std::numeric_limits<double>::digits10) << number;
    return text.str();
}

bool isName(const std::string& text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

bool isIp(const std::string& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

std::string describe(const YAML::Node& node)
{
    switch (node.Type()) {
    case YAML::NodeType::Scalar:
        return "'" + node.Scalar() + "'";
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a map";
    default:
        return "nothing";
    }
}

} // namespace

void SettingsErrors::add(
    const YAML::Mark& mark, const std::string& key, const std::string& found, const std::string& allowed)
{
    const std::string line = mark.is_null() ? std::string("1") : std::to_string(mark.line + 1);
    m_lines.push_back(m_file + ":" + line + ": " + key + ": found " + found + "; allowed: " + allowed);
}

SettingsSection::SettingsSection(const YAML::Node& node, std::string path, SettingsErrors& errors)
    : m_node(node)
    , m_path(std::move(path))
    , m_errors(errors)
    , m_present(node.IsDefined() && node.IsMap())
{
    if (node.IsDefined() && !node.IsMap())
        m_errors.add(node.Mark(), m_path.empty() ? "settings" : m_path, describe(node), "a map");
}

bool SettingsSection::hasValue(const std::string& key) const
{
    if (!m_present)
        return false;
    const YAML::Node value = m_node[key];
    return value.IsDefined() && !value.IsNull();
}

YAML::Node SettingsSection::find(const std::string& key)
{
    m_knownKeys.push_back(key);
    if (!hasValue(key))
        return YAML::Node(YAML::NodeType::Undefined);
    // Indexing a non-const node by an absent key would add the key.
    const YAML::Node& node = m_node;
    return node[key];
}

SettingsSection SettingsSection::section(const std::string& key)
{
    return { find(key), m_path.empty() ? key : m_path + "." + key, m_errors };
}

std::vector<YAML::Node> SettingsSection::list(const std::string& key)
{
    const YAML::Node node = find(key);
    std::vector<YAML::Node> items;
    if (!node.IsDefined())
        return items;
    if (!node.IsSequence()) {
        error(key, describe(node), "a list");
        return items;
    }
    for (const auto& item : node)
        items.push_back(item);
    return items;
}

std::optional<std::string> SettingsSection::scalar(const std::string& key, const std::string& allowed)
{
    const YAML::Node node = find(key);
    if (!node.IsDefined())
        return std::nullopt;
    if (node.IsScalar())
        return node.Scalar();
    error(key, describe(node), allowed);
    return std::nullopt;
}

void SettingsSection::text(const std::string& key, std::string& target)
{
    if (auto found = scalar(key, "a text"))
        target = *found;
}

void SettingsSection::name(const std::string& key, std::string& target)
{
    const std::string allowed = "1 to 64 letters, digits, '-', '_' or '.'";
    const auto found = scalar(key, allowed);
    if (found && isName(*found))
        target = *found;
    else if (found)
        error(key, "'" + *found + "'", allowed);
}

void SettingsSection::flag(const std::string& key, bool& target)
{
    const std::string allowed = "true or false";
    const auto found = scalar(key, allowed);
    if (!found)
        return;
    if (*found == "true" || *found == "false")
        target = *found == "true";
    else
        error(key, "'" + *found + "'", allowed);
}

void SettingsSection::number(const std::string& key, std::uint64_t low, std::uint64_t high, std::uint64_t& target)
{
    const std::string allowed = "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    const auto found = scalar(key, allowed);
    if (!found)
        return;
    const auto value = parseNumber<std::uint64_t>(*found);
    if (value && *value >= low && *value <= high)
        target = *value;
    else
        error(key, "'" + *found + "'", allowed);
}

void SettingsSection::number(const std::string& key, std::uint32_t low, std::uint32_t high, std::uint32_t& target)
{
    std::uint64_t value = target;
    number(key, std::uint64_t(low), std::uint64_t(high), value);
    target = static_cast<std::uint32_t>(value);
}

void SettingsSection::port(const std::string& key, std::uint16_t& target)
{
    std::uint64_t value = target;
    number(key, std::uint64_t(1), maxPort, value);
    target = static_cast<std::uint16_t>(value);
}

void SettingsSection::duration(const std::string& key, Milliseconds low, Milliseconds high, Milliseconds& target)
{
    const std::string allowed = "a duration with its unit (ms, s, min, h) from " + printDuration(low) + " to "
        + printDuration(high) + ", such as \"" + printDuration(target) + "\"";
    const auto found = scalar(key, allowed);
    if (!found)
        return;
    const auto value = parseDuration(*found);
    if (value && *value >= low && *value <= high)
        target = *value;
    else
        error(key, "'" + *found + "'", allowed);
}

void SettingsSection::size(const std::string& key, std::uint64_t low, std::uint64_t high, std::uint64_t& target)
{
    const std::string allowed = "a size with its unit (B, KiB, MiB, GiB) from " + printSize(low) + " to "
        + printSize(high) + ", such as \"" + printSize(target) + "\"";
    const auto found = scalar(key, allowed);
    if (!found)
        return;
    const auto value = parseSize(*found);
    if (value && *value >= low && *value <= high)
        target = *value;
    else
        error(key, "'" + *found + "'", allowed);
}

void SettingsSection::decimal(const std::string& key, double low, double high, double& target)
{
    const std::string allowed = "a number from " + printNumber(low) + " to " + printNumber(high);
    const auto found = scalar(key, allowed);
    if (!found)
        return;
    const auto value = parseNumber<double>(*found);
    // Written so that it is false for a value that is not a number.
    if (value && *value >= low && *value <= high)
        target = *value;
    else
        error(key, "'" + *found + "'", allowed);
}

void SettingsSection::ip(const std::string& key, std::string& target)
{
    const std::string allowed = "an IP address";
    const auto found = scalar(key, allowed);
    if (found && isIp(*found))
        target = *found;
    else if (found)
        error(key, "'" + *found + "'", allowed);
}

void SettingsSection::address(const std::string& key, SocketAddress& target)
{
    const std::string allowed = "an IP address and a port, such as 10.0.0.1:8401";
    const auto found = scalar(key, allowed);
    if (!found)
        return;
    if (auto value = parseSocketAddress(*found))
        target = std::move(*value);
    else
        error(key, "'" + *found + "'", allowed);
}

std::optional<std::size_t> SettingsSection::choice(const std::string& key, const std::vector<std::string>& words)
{
    std::string allowed;
    for (const std::string& candidate : words)
        allowed += (allowed.empty() ? "" : ", ") + candidate;
    const auto found = scalar(key, allowed);
    if (!found)
        return std::nullopt;
    const auto position = std::find(words.begin(), words.end(), *found);
    if (position != words.end())
        return static_cast<std::size_t>(position - words.begin());
    error(key, "'" + *found + "'", allowed + suggestion(*found, words));
    return std::nullopt;
}

void SettingsSection::error(const std::string& key, const std::string& found, const std::string& allowed)
{
    const YAML::Node& section = m_node;
    const YAML::Node node = m_present && !key.empty() ? section[key] : YAML::Node(YAML::NodeType::Undefined);
    const YAML::Mark mark = node.IsDefined() ? node.Mark() : m_present ? m_node.Mark() : YAML::Mark::null_mark();
    m_errors.add(mark, m_path.empty() || key.empty() ? m_path + key : m_path + "." + key, found, allowed);
}

void SettingsSection::require(const std::string& key, const std::string& allowed)
{
    if (!hasValue(key))
        error(key, "nothing", allowed);
}

void SettingsSection::checkKeys()
{
    if (!m_present)
        return;
    std::vector<std::string> seen;
    for (const auto& entry : m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : describe(entry.first);
        const std::string path = m_path.empty() ? key : m_path + "." + key;
        if (std::find(seen.begin(), seen.end(), key) != seen.end())
            m_errors.add(entry.first.Mark(), path, "the key twice", "each key once");
        else if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end()) {
            std::string allowed;
            for (const std::string& known : m_knownKeys)
                allowed += (allowed.empty() ? "" : ", ") + known;
            m_errors.add(entry.first.Mark(), path, "an unknown key", allowed + suggestion(key, m_knownKeys));
        }
        seen.push_back(key);
    }
}

std::vector<std::string> SettingsSection::keys()
{
    std::vector<std::string> result;
    if (!m_present)
        return result;
    for (const auto& entry : m_node) {
        if (entry.first.IsScalar())
            result.push_back(entry.first.Scalar());
    }
    return result;
}

std::optional<SocketAddress> parseSocketAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string ip = text.substr(0, colon);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    const auto port = parseNumber<std::uint64_t>(text.substr(colon + 1));
    const bool isIpv6 = ip.find(':') != std::string::npos;
    if (!port || *port == 0 || *port > maxPort || isIpv6 != bracketed || !isIp(ip))
        return std::nullopt;
    return SocketAddress { ip, static_cast<std::uint16_t>(*port) };
}

} // namespace flamingo::detail
