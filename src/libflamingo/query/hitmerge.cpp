#include "query/hitmerge.h"

#include <rapidjson/error/error.h>
#include <rapidjson/reader.h>
#include <rapidjson/stream.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <numeric>

namespace flamingo {

namespace {

// Limits the recursion of the parser, so that a hostile body cannot overflow the stack.
constexpr unsigned maxNestingDepth = 64;
// The merger drops the lowest-ranked hits when it holds more than this many times the limit.
constexpr std::size_t pruneFactor = 4;

using Stream = rapidjson::StringStream;

// NOLINTBEGIN(readability-identifier-naming): RapidJSON prescribes the names of the handler functions.
/** Handles the parser's events and records the score, key and position of each hit. */
class HitHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, HitHandler> {
public:
    HitHandler(const Stream& stream, std::vector<ScannedHit>& hits)
        : m_stream(stream)
        , m_hits(hits)
    {
    }

    bool Default() { return acceptsValue(); }
    bool Int(int value) { return takeNumber(value); }
    bool Uint(unsigned value) { return takeNumber(value); }
    bool Int64(std::int64_t value) { return takeNumber(static_cast<double>(value)); }
    bool Uint64(std::uint64_t value) { return takeNumber(static_cast<double>(value)); }
    bool Double(double value) { return takeNumber(value); }

    bool String(const char* text, rapidjson::SizeType length, bool)
    {
        if (m_depth == 2 && m_field == Field::Key) {
            if (m_hasKey)
                return false;
            m_hasKey = true;
            m_hit.m_key.assign(text, length);
            return true;
        }
        return acceptsValue();
    }

    bool Key(const char* text, rapidjson::SizeType length, bool)
    {
        if (m_depth == 2) {
            const std::string_view name(text, length);
            m_field = name == "score" ? Field::Score : name == "key" ? Field::Key : Field::Other;
        }
        return true;
    }

    bool StartArray()
    {
        if (m_depth == 0) {
            m_depth = 1;
            return true;
        }
        return enterNested();
    }

    bool EndArray(rapidjson::SizeType)
    {
        --m_depth;
        return true;
    }

    bool StartObject()
    {
        if (m_depth == 0)
            return false;
        if (m_depth > 1)
            return enterNested();
        m_depth = 2;
        m_hit = ScannedHit();
        m_hasKey = false;
        m_hasScore = false;
        // The parser has already consumed the opening brace.
        m_hit.m_offset = static_cast<std::uint32_t>(m_stream.Tell() - 1);
        return true;
    }

    bool EndObject(rapidjson::SizeType)
    {
        --m_depth;
        if (m_depth > 1)
            return true;
        if (!m_hasKey || !m_hasScore)
            return false;
        m_hit.m_length = static_cast<std::uint32_t>(m_stream.Tell()) - m_hit.m_offset;
        m_hits.push_back(std::move(m_hit));
        return true;
    }

private:
    enum class Field {
        Score,
        Key,
        Other,
    };

    // Returns whether a value other than a key or score is valid here. A value directly in the outer array, or
    // of the wrong type for the field "score" or "key", is not.
    bool acceptsValue() const { return m_depth > 2 || (m_depth == 2 && m_field == Field::Other); }

    bool takeNumber(double value)
    {
        if (m_depth != 2 || m_field != Field::Score)
            return acceptsValue();
        if (m_hasScore)
            return false;
        m_hasScore = true;
        m_hit.m_score = value;
        return true;
    }

    bool enterNested()
    {
        if (!acceptsValue() || m_depth >= maxNestingDepth)
            return false;
        ++m_depth;
        return true;
    }

    const Stream& m_stream;
    std::vector<ScannedHit>& m_hits;
    unsigned m_depth = 0; // 1 inside the array, 2 inside a hit
    Field m_field = Field::Other;
    ScannedHit m_hit;
    bool m_hasKey = false;
    bool m_hasScore = false;
};

// NOLINTEND(readability-identifier-naming)

bool isAscii(const std::string& text)
{
    constexpr std::uint64_t highBits = 0x8080808080808080ULL;
    std::size_t position = 0;
    std::uint64_t seen = 0;
    for (; position + sizeof(std::uint64_t) <= text.size(); position += sizeof(std::uint64_t)) {
        std::uint64_t word = 0;
        std::memcpy(&word, text.data() + position, sizeof(word));
        seen |= word;
    }
    for (; position < text.size(); ++position)
        seen |= static_cast<unsigned char>(text[position]);
    return (seen & highBits) == 0;
}

void dropRepeatedKeys(std::vector<ScannedHit>& hits)
{
    std::vector<std::uint32_t> order(hits.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
        const int keyOrder = hits[a].m_key.compare(hits[b].m_key);
        if (keyOrder != 0)
            return keyOrder < 0;
        return hits[a].m_score != hits[b].m_score ? hits[a].m_score > hits[b].m_score : a < b;
    });
    std::vector<bool> repeated(hits.size());
    bool anyRepeated = false;
    for (std::size_t i = 1; i < order.size(); ++i) {
        if (hits[order[i]].m_key == hits[order[i - 1]].m_key) {
            repeated[order[i]] = true;
            anyRepeated = true;
        }
    }
    if (!anyRepeated)
        return;
    std::size_t kept = 0;
    for (std::size_t i = 0; i < hits.size(); ++i) {
        if (!repeated[i]) {
            if (kept != i)
                hits[kept] = std::move(hits[i]);
            ++kept;
        }
    }
    hits.resize(kept);
}

bool ranksBefore(const HitMerger::Entry& a, const HitMerger::Entry& b)
{
    if (a.m_score != b.m_score)
        return a.m_score > b.m_score;
    const int keyOrder = a.m_key.compare(b.m_key);
    return keyOrder != 0 ? keyOrder < 0 : a.m_shard < b.m_shard;
}

void pruneToLimit(HitMerger& merger)
{
    if (merger.m_entries.size() <= merger.m_limit)
        return;
    const auto last = merger.m_entries.begin() + static_cast<std::ptrdiff_t>(merger.m_limit);
    std::nth_element(merger.m_entries.begin(), last, merger.m_entries.end(), ranksBefore);
    merger.m_entries.resize(merger.m_limit);
}

} // namespace

std::optional<std::vector<ScannedHit>> scanHits(const std::string& body)
{
    if (body.size() > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    std::vector<ScannedHit> hits;
    Stream stream(body.c_str());
    HitHandler handler(stream, hits);
    rapidjson::Reader reader;
    // UTF-8 validation takes a third of the scan time, so it is skipped for pure ASCII bodies.
    constexpr unsigned baseFlags = rapidjson::kParseFullPrecisionFlag;
    constexpr unsigned validatingFlags = baseFlags | rapidjson::kParseValidateEncodingFlag;
    const bool parsed = isAscii(body) ? !reader.Parse<baseFlags>(stream, handler).IsError()
                                      : !reader.Parse<validatingFlags>(stream, handler).IsError();
    // The parser stops at the first zero byte, so a body with more bytes after it is malformed.
    if (!parsed || stream.Tell() != body.size())
        return std::nullopt;
    dropRepeatedKeys(hits);
    return hits;
}

bool addShardHits(HitMerger& merger, ShardIndex shard, std::string body)
{
    auto hits = scanHits(body);
    if (!hits)
        return false;
    const auto bodyIndex = static_cast<std::uint32_t>(merger.m_bodies.size());
    merger.m_bodies.push_back(std::move(body));
    for (ScannedHit& hit : *hits) {
        HitMerger::Entry entry;
        entry.m_score = hit.m_score;
        entry.m_key = std::move(hit.m_key);
        entry.m_shard = shard.value();
        entry.m_bodyIndex = bodyIndex;
        entry.m_offset = hit.m_offset;
        entry.m_length = hit.m_length;
        merger.m_entries.push_back(std::move(entry));
    }
    if (merger.m_entries.size() > pruneFactor * merger.m_limit)
        pruneToLimit(merger);
    return true;
}

std::string mergedHits(HitMerger& merger)
{
    pruneToLimit(merger);
    std::sort(merger.m_entries.begin(), merger.m_entries.end(), ranksBefore);
    std::size_t size = 2;
    for (const HitMerger::Entry& entry : merger.m_entries)
        size += entry.m_length + 1;
    std::string text;
    text.reserve(size);
    text += '[';
    for (const HitMerger::Entry& entry : merger.m_entries) {
        if (text.size() > 1)
            text += ',';
        text.append(merger.m_bodies[entry.m_bodyIndex], entry.m_offset, entry.m_length);
    }
    text += ']';
    return text;
}

} // namespace flamingo
