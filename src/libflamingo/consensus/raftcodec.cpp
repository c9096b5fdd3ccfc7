#include "consensus/raftcodec.h"

#include "base/cborcheck.h"

#include <nlohmann/json.hpp>

#include <type_traits>

namespace flamingo {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 8;
constexpr std::size_t kMaxItems = std::size_t(1) << 20U;

// Kinds of log entries in a message.
constexpr std::uint64_t kNoop = 0;
constexpr std::uint64_t kConfiguration = 1;
constexpr std::uint64_t kApplication = 2;

json binary(const std::string& bytes) { return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end())); }

std::string toCbor(const json& value)
{
    const std::vector<std::uint8_t> cbor = json::to_cbor(value);
    return { cbor.begin(), cbor.end() };
}

/** Reads typed fields of a map. Sets the error for the first field that is missing or has the wrong type. */
class FieldReader {
public:
    FieldReader(const json& map, std::string& error)
        : m_map(map)
        , m_error(error)
    {
        if (!map.is_object())
            fail("(enclosing map)");
    }

    std::uint64_t number(const char* key)
    {
        const json* field = find(key);
        if (field && field->is_number_unsigned())
            return field->get<std::uint64_t>();
        return fail(key), 0;
    }
    bool flag(const char* key)
    {
        const json* field = find(key);
        if (field && field->is_boolean())
            return field->get<bool>();
        return fail(key), false;
    }
    std::string text(const char* key)
    {
        const json* field = find(key);
        if (field && field->is_string())
            return field->get<std::string>();
        return fail(key), std::string();
    }
    std::string bytes(const char* key)
    {
        const json* field = find(key);
        if (field && field->is_binary())
            return { field->get_binary().begin(), field->get_binary().end() };
        return fail(key), std::string();
    }
    bool has(const char* key) const { return find(key) != nullptr; }
    const json& child(const char* key)
    {
        const json* field = find(key);
        static const json kNull;
        return field ? *field : (fail(key), kNull);
    }
    const json& list(const char* key)
    {
        const json& field = child(key);
        static const json kEmpty = json::array();
        return field.is_array() ? field : (fail(key), kEmpty);
    }
    LogIndex index(const char* key) { return LogIndex(number(key)); }
    Term term(const char* key) { return Term(number(key)); }

private:
    const json* find(const char* key) const
    {
        if (!m_map.is_object())
            return nullptr;
        const auto found = m_map.find(key);
        return found == m_map.end() ? nullptr : &*found;
    }
    void fail(const char* key)
    {
        if (m_error.empty())
            m_error = std::string("field \"") + key + "\" is missing or has the wrong type";
    }

    const json& m_map;
    std::string& m_error;
};

json toJson(const Configuration& configuration)
{
    json members = json::array();
    for (const MemberRecord& member : configuration.m_members) {
        members.push_back({ { "id", member.m_id.value() }, { "vm", member.m_vm.value() }, { "at", member.m_address },
            { "voter", member.m_voter } });
    }
    json removed = json::array();
    for (const MemberId& id : configuration.m_removed)
        removed.push_back(id.value());
    return { { "members", std::move(members) }, { "removed", std::move(removed) } };
}

Configuration configurationFromJson(const json& value, std::string& error)
{
    Configuration configuration;
    FieldReader fields(value, error);
    for (const json& item : fields.list("members")) {
        FieldReader member(item, error);
        configuration.m_members.push_back(
            { MemberId(member.text("id")), VmId(member.text("vm")), member.text("at"), member.flag("voter") });
    }
    for (const json& item : fields.list("removed")) {
        if (item.is_string())
            configuration.m_removed.emplace_back(item.get<std::string>());
        else if (error.empty())
            error = "a removed member id is not a string";
    }
    return configuration;
}

json toJson(const SnapshotInfo& info)
{
    return { { "index", info.m_index.value() }, { "term", info.m_term.value() }, { "size", info.m_size },
        { "sum", info.m_checksum }, { "conf", toJson(info.m_configuration) } };
}

SnapshotInfo snapshotInfoFromJson(const json& value, std::string& error)
{
    SnapshotInfo info;
    FieldReader fields(value, error);
    info.m_index = fields.index("index");
    info.m_term = fields.term("term");
    info.m_size = fields.number("size");
    info.m_checksum = fields.number("sum");
    info.m_configuration = configurationFromJson(fields.child("conf"), error);
    return info;
}

json toJson(const LogEntry& entry)
{
    json value = { { "i", entry.m_index.value() }, { "t", entry.m_term.value() } };
    if (const auto* bytes = std::get_if<std::string>(&entry.m_body)) {
        value["k"] = kApplication;
        value["b"] = binary(*bytes);
    } else if (const auto* configuration = std::get_if<Configuration>(&entry.m_body)) {
        value["k"] = kConfiguration;
        value["b"] = toJson(*configuration);
    } else
        value["k"] = kNoop;
    return value;
}

LogEntryPtr entryFromJson(const json& value, std::string& error)
{
    LogEntry entry;
    FieldReader fields(value, error);
    entry.m_index = fields.index("i");
    entry.m_term = fields.term("t");
    switch (fields.number("k")) {
    case kNoop:
        break;
    case kConfiguration:
        entry.m_body = configurationFromJson(fields.child("b"), error);
        break;
    case kApplication:
        entry.m_body = fields.bytes("b");
        break;
    default:
        error = "a log entry has an unknown kind";
    }
    return std::make_shared<const LogEntry>(std::move(entry));
}

// Each message body has a name in the frame, a write() and a read() function.

template <typename Body> struct BodyName;
template <> struct BodyName<VoteRequest> {
    static constexpr const char* kValue = "vote";
};
template <> struct BodyName<VoteAnswer> {
    static constexpr const char* kValue = "voteAnswer";
};
template <> struct BodyName<AppendRequest> {
    static constexpr const char* kValue = "append";
};
template <> struct BodyName<AppendAnswer> {
    static constexpr const char* kValue = "appendAnswer";
};
template <> struct BodyName<SnapshotChunk> {
    static constexpr const char* kValue = "snapshot";
};
template <> struct BodyName<SnapshotAnswer> {
    static constexpr const char* kValue = "snapshotAnswer";
};
template <> struct BodyName<StatusQuery> {
    static constexpr const char* kValue = "status";
};
template <> struct BodyName<StatusAnswer> {
    static constexpr const char* kValue = "statusAnswer";
};
template <> struct BodyName<JoinRequest> {
    static constexpr const char* kValue = "join";
};
template <> struct BodyName<JoinAnswer> {
    static constexpr const char* kValue = "joinAnswer";
};

void write(json& out, const VoteRequest& body)
{
    out["pre"] = body.m_preVote;
    out["last"] = body.m_lastIndex.value();
    out["lastTerm"] = body.m_lastTerm.value();
}
void read(FieldReader& in, VoteRequest& body, std::string&)
{
    body = { in.flag("pre"), in.index("last"), in.term("lastTerm") };
}

void write(json& out, const VoteAnswer& body)
{
    out["pre"] = body.m_preVote;
    out["granted"] = body.m_granted;
    out["removed"] = body.m_removed;
}
void read(FieldReader& in, VoteAnswer& body, std::string&)
{
    body = { in.flag("pre"), in.flag("granted"), in.flag("removed") };
}

void write(json& out, const AppendRequest& body)
{
    out["prev"] = body.m_previousIndex.value();
    out["prevTerm"] = body.m_previousTerm.value();
    out["commit"] = body.m_commitIndex.value();
    out["round"] = body.m_round;
    json entries = json::array();
    for (const LogEntryPtr& entry : body.m_entries)
        entries.push_back(toJson(*entry));
    out["entries"] = std::move(entries);
}
void read(FieldReader& in, AppendRequest& body, std::string& error)
{
    body.m_previousIndex = in.index("prev");
    body.m_previousTerm = in.term("prevTerm");
    body.m_commitIndex = in.index("commit");
    body.m_round = in.number("round");
    for (const json& entry : in.list("entries"))
        body.m_entries.push_back(entryFromJson(entry, error));
}

void write(json& out, const AppendAnswer& body)
{
    out["matched"] = body.m_matched;
    out["index"] = body.m_index.value();
    out["hint"] = body.m_hintTerm.value();
    out["round"] = body.m_round;
}
void read(FieldReader& in, AppendAnswer& body, std::string&)
{
    body = { in.flag("matched"), in.index("index"), in.term("hint"), in.number("round") };
}

void write(json& out, const SnapshotChunk& body)
{
    out["info"] = toJson(body.m_info);
    out["offset"] = body.m_offset;
    out["bytes"] = binary(body.m_bytes);
    out["round"] = body.m_round;
}
void read(FieldReader& in, SnapshotChunk& body, std::string& error)
{
    body.m_info = snapshotInfoFromJson(in.child("info"), error);
    body.m_offset = in.number("offset");
    body.m_bytes = in.bytes("bytes");
    body.m_length = static_cast<std::uint32_t>(body.m_bytes.size());
    body.m_round = in.number("round");
}

void write(json& out, const SnapshotAnswer& body)
{
    out["index"] = body.m_index.value();
    out["done"] = body.m_done;
    out["next"] = body.m_nextOffset;
    out["round"] = body.m_round;
}
void read(FieldReader& in, SnapshotAnswer& body, std::string&)
{
    body = { in.index("index"), in.flag("done"), in.number("next"), in.number("round") };
}

void write(json& out, const StatusQuery& body) { out["list"] = body.m_listDigest; }
void read(FieldReader& in, StatusQuery& body, std::string&) { body.m_listDigest = in.number("list"); }

void write(json& out, const StatusAnswer& body)
{
    out["vm"] = body.m_vm.value();
    out["fresh"] = body.m_fresh;
    out["bootstrap"] = body.m_bootstrapAllowed;
    out["list"] = body.m_listDigest;
    out["leader"] = body.m_leaderAddress;
}
void read(FieldReader& in, StatusAnswer& body, std::string&)
{
    body = { VmId(in.text("vm")), in.flag("fresh"), in.flag("bootstrap"), in.number("list"), in.text("leader") };
}

void write(json& out, const JoinRequest& body)
{
    out["vm"] = body.m_vm.value();
    out["lost"] = body.m_lostMember.value();
}
void read(FieldReader& in, JoinRequest& body, std::string&)
{
    // Members of the former version do not send "lost".
    body = { VmId(in.text("vm")), MemberId(in.has("lost") ? in.text("lost") : std::string()) };
}

void write(json& out, const JoinAnswer& body)
{
    out["accepted"] = body.m_accepted;
    out["removed"] = body.m_removed;
    out["text"] = body.m_text;
    out["leader"] = body.m_leaderAddress;
}
void read(FieldReader& in, JoinAnswer& body, std::string&)
{
    body = { in.flag("accepted"), in.flag("removed"), in.text("text"), in.text("leader") };
}

/** Reads the body of the kind. Returns false if no message body has that name. */
template <std::size_t Alternative = 0>
bool readBody(const std::string& kind, FieldReader& fields, RaftBody& body, std::string& error)
{
    if constexpr (Alternative < std::variant_size_v<RaftBody>) {
        using Body = std::variant_alternative_t<Alternative, RaftBody>;
        if (kind != BodyName<Body>::kValue)
            return readBody<Alternative + 1>(kind, fields, body, error);
        read(fields, body.emplace<Body>(), error);
        return true;
    }
    return false;
}

/** Parses CBOR from another member or a file. Returns a discarded value if it is invalid or not bounded. */
json parseCbor(std::string_view bytes)
{
    if (!isBoundedCbor(bytes, kMaxDepth, kMaxItems))
        return json(json::value_t::discarded);
    try {
        return json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const json::exception&) {
        return json(json::value_t::discarded);
    }
}

std::nullopt_t refuse(Reason& reason, ResultCode code, std::string text)
{
    reason = Reason { code, std::move(text) };
    return std::nullopt;
}

template <typename T, typename FromJson>
std::optional<T> decodePart(std::string_view bytes, Reason& reason, const FromJson& fromJson)
{
    const json value = parseCbor(bytes);
    if (value.is_discarded())
        return refuse(reason, ResultCode::MalformedBody, "the value is not valid CBOR");
    std::string error;
    T part = fromJson(value, error);
    if (!error.empty())
        return refuse(reason, ResultCode::MalformedBody, error);
    return part;
}

} // namespace

std::string encodeRaftMessage(const RaftMessage& message)
{
    json out = { { "v", kRaftProtocolVersion }, { "t", "raft" }, { "from", message.m_from.value() },
        { "at", message.m_fromAddress }, { "to", message.m_to.value() }, { "term", message.m_term.value() } };
    std::visit(
        [&](const auto& body) {
            out["kind"] = BodyName<std::decay_t<decltype(body)>>::kValue;
            write(out, body);
        },
        message.m_body);
    return toCbor(out);
}

std::optional<RaftMessage> decodeRaftMessage(std::string_view frame, Reason& reason)
{
    if (frame.size() > kMaxFrameBytes)
        return refuse(reason, ResultCode::BodyTooLarge,
            "the control message has " + std::to_string(frame.size()) + " bytes; the maximum number of bytes is "
                + std::to_string(kMaxFrameBytes));
    const json value = parseCbor(frame);
    if (value.is_discarded() || !value.is_object())
        return refuse(reason, ResultCode::MalformedBody, "the control message is not a valid CBOR map");
    std::string error;
    FieldReader fields(value, error);
    const std::uint64_t version = fields.number("v");
    if (!error.empty() || version != kRaftProtocolVersion || fields.text("t") != "raft")
        return refuse(reason, ResultCode::UnsupportedProtocol,
            "the control message is not a message of consensus protocol version "
                + std::to_string(kRaftProtocolVersion));
    RaftMessage message;
    message.m_from = MemberId(fields.text("from"));
    message.m_fromAddress = fields.text("at");
    message.m_to = MemberId(fields.text("to"));
    message.m_term = fields.term("term");
    const std::string kind = fields.text("kind");
    if (!readBody(kind, fields, message.m_body, error))
        return refuse(reason, ResultCode::UnsupportedProtocol, "the control message has unknown kind \"" + kind + "\"");
    if (error.empty() && message.m_from == MemberId())
        error = "field \"from\" is empty";
    if (!error.empty())
        return refuse(reason, ResultCode::MalformedBody, "the control message of kind \"" + kind + "\": " + error);
    return message;
}

std::string encodeConfiguration(const Configuration& configuration) { return toCbor(toJson(configuration)); }

std::optional<Configuration> decodeConfiguration(std::string_view bytes, Reason& reason)
{
    return decodePart<Configuration>(bytes, reason, configurationFromJson);
}

std::string encodeSnapshotInfo(const SnapshotInfo& info) { return toCbor(toJson(info)); }

std::optional<SnapshotInfo> decodeSnapshotInfo(std::string_view bytes, Reason& reason)
{
    return decodePart<SnapshotInfo>(bytes, reason, snapshotInfoFromJson);
}

} // namespace flamingo
