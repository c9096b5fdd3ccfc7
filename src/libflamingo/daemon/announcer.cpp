#include "daemon/announcer.h"

#include "daemon/entryloop.h"

#include <future>

namespace flamingo {

namespace {

// Longest wait for the control leader to apply a command.
constexpr Milliseconds controlTimeout { 5000 };

CommandBody commandBody(const Announcement& announcement)
{
    const EndpointRecord& endpoint = announcement.m_endpoint;
    if (announcement.m_action == AnnouncementAction::Drain)
        return DrainOwnEndpoint { endpoint.m_id, endpoint.m_incarnation };
    if (announcement.m_action == AnnouncementAction::Leave)
        return RemoveEndpoints { { { endpoint.m_id, endpoint.m_incarnation } } };
    return RegisterEndpoint { endpoint, announcement.m_layouts };
}

} // namespace

Announcer::Announcer(const EntryLoop& entry, const ControlLoopProxy& control)
    : m_entry(entry)
    , m_control(control)
{
}

AnnouncementAnswer Announcer::announce(const Announcement& announcement)
{
    if (announcement.m_action == AnnouncementAction::Renew)
        return renew(announcement);
    Command command;
    command.m_body = commandBody(announcement);
    const auto promise = std::make_shared<std::promise<CommandResult>>();
    m_control.m_submit(
        std::move(command), controlTimeout, [promise](CommandResult result) { promise->set_value(std::move(result)); });
    const CommandResult result = promise->get_future().get();
    AnnouncementAnswer answer;
    answer.m_code = result.m_code;
    answer.m_text = result.m_text;
    answer.m_revision = result.m_revision;
    return answer;
}

AnnouncementAnswer Announcer::renew(const Announcement& announcement)
{
    AnnouncementAnswer answer;
    const EndpointRecord& renewed = announcement.m_endpoint;
    const auto state = m_entry.state();
    const auto record = state ? state->m_endpoints.find(renewed.m_id) : decltype(state->m_endpoints.end()) {};
    if (!state) {
        answer.m_code = ResultCode::NotReady;
        answer.m_text = "this VM has not received the configuration yet";
    } else if (record == state->m_endpoints.end() || record->second.m_incarnation != renewed.m_incarnation) {
        answer.m_code = ResultCode::UnknownName;
        answer.m_text = "endpoint " + renewed.m_id.value() + " is not registered under this incarnation";
    } else {
        m_control.m_noteRenewal(renewed.m_id);
    }
    return answer;
}

} // namespace flamingo
