#include "daemon/controllink.h"

#include "base/log.h"
#include "link/linkclient.h"
#include "link/linkpath.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace flamingo {

ControlLink::ControlLink(boost::asio::io_context& io, ControlClientSettings settings,
    std::function<void(std::shared_ptr<const PublishedState>, const std::vector<Change>*)> onState)
    : m_io(io)
    , m_random(std::random_device {}())
{
    ControlClientPorts ports;
    ports.m_connect = [this](LinkId link, const std::string& address) { connect(link, address); };
    ports.m_close = [this](LinkId link) { close(link); };
    ports.m_send = [this](LinkId link, const std::string& bytes) {
        if (m_link && link == m_linkId)
            m_link->send(bytes);
    };
    ports.m_onState = [this, onState = std::move(onState)](std::shared_ptr<const PublishedState> state) {
        onState(std::move(state), m_client->lastChanges());
    };
    ports.m_random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); };
    m_client = std::make_unique<ControlClient>(std::move(settings), std::move(ports));
}

ControlLink::~ControlLink() = default;

void ControlLink::connect(LinkId link, const std::string& address)
{
    resetLink();
    m_linkId = link;
    LinkClientCallbacks callbacks;
    callbacks.m_opened = [this, link] { m_client->onLinkOpened(link, monotonicNow()); };
    callbacks.m_message
        = [this, link](const std::string& message) { m_client->onMessage(link, message, monotonicNow()); };
    callbacks.m_closed = [this, link, address](const Reason& reason) {
        FLAMINGO_LOG(Info, "control link closed", { "address", address }, { "reason", reason.m_text });
        m_client->onLinkClosed(link, monotonicNow());
    };
    m_link = std::make_unique<LinkClient>(m_io, std::move(callbacks));
    if (!m_link->connect(address, entryLinkPath)) {
        // The client must not be called back before this call returns.
        boost::asio::post(m_io, [this, link] { m_client->onLinkClosed(link, monotonicNow()); });
    }
}

void ControlLink::close(LinkId link)
{
    if (link == m_linkId)
        resetLink();
}

void ControlLink::resetLink() { m_link.reset(); }

} // namespace flamingo
