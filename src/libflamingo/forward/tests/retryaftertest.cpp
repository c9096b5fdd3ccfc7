#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace flamingo;

namespace {

// Within this time calls that were sent before the refusal may still arrive.
constexpr Milliseconds inTransit { 500 };
constexpr std::size_t maxArrivals = 2;

/** A VM that sends a request every 20 ms while endpoints refuse calls and name the time that they want none for. */
class RefusingEndpoints {
public:
    RefusingEndpoints(ForwardFixture& vm, Milliseconds retryAfter)
        : m_vm(vm)
        , m_retryAfter(retryAfter)
    {
    }

    /** Plays until the time that the endpoints named has passed. The others fail the given share of their calls. */
    void play(const Route& route, const std::vector<std::string>& refusing, int failEvery)
    {
        for (const std::string& id : refusing)
            m_refusing[EndpointId(id)] = std::nullopt;
        const MonotonicTime end = m_vm.m_now + m_retryAfter;
        while (m_vm.m_now < end) {
            ForwardExecution execution = m_vm.execution(route);
            std::vector<ForwardEffects::Send> sends = m_vm.start(execution).m_sends;
            while (!sends.empty()) {
                const ForwardEffects::Send send = sends.front();
                sends.erase(sends.begin());
                const ForwardEffects effects = m_vm.reply(execution, send, answer(send, failEvery));
                sends.insert(sends.end(), effects.m_sends.begin(), effects.m_sends.end());
            }
            if (m_regainsLinks)
                forgetFailuresSince(m_vm.m_state.m_routing, MonotonicTime());
            m_vm.m_now += Milliseconds(20);
        }
    }

    /** Returns the most calls that one endpoint got in the time for which it wanted none. */
    std::size_t mostArrivals() const
    {
        std::size_t most = 0;
        for (const auto& [id, count] : m_arrivals)
            most = std::max(most, count);
        return most;
    }

    unsigned m_status = 503;
    bool m_notRun = true;
    bool m_regainsLinks = false;

private:
    EndpointReply answer(const ForwardEffects::Send& send, int failEvery)
    {
        const auto refusing = m_refusing.find(send.m_call.m_endpoint);
        if (refusing == m_refusing.end()) {
            ++m_calls;
            return failEvery > 0 && m_calls % failEvery == 0 ? ForwardFixture::lost() : ForwardFixture::success("r");
        }
        if (!refusing->second)
            refusing->second = m_vm.m_now;
        else if (m_vm.m_now > *refusing->second + inTransit)
            ++m_arrivals[send.m_call.m_endpoint];
        EndpointReply refusal = ForwardFixture::refusal();
        refusal.m_status = m_status;
        refusal.m_notRun = m_notRun;
        refusal.m_retryAfter = std::chrono::duration_cast<Milliseconds>(*refusing->second + m_retryAfter - m_vm.m_now);
        return refusal;
    }

    ForwardFixture& m_vm;
    Milliseconds m_retryAfter;
    std::map<EndpointId, std::optional<MonotonicTime>> m_refusing; // since when
    std::map<EndpointId, std::size_t> m_arrivals;
    int m_calls = 0;
};

} // namespace

TEST_CASE("an endpoint that refuses a call gets none until the time that it named has passed", "[forward]")
{
    ForwardFixture vm(3);
    Route route = vm.m_single;
    RefusingEndpoints endpoints(vm, Milliseconds(90000));
    std::vector<std::string> refusing { "e0a" };
    int failEvery = 0;

    SECTION("while another endpoint answers") { }
    SECTION("while the other one fails and is ejected") { failEvery = 2; }
    SECTION("while all endpoints refuse") { refusing.emplace_back("e0b"); }
    SECTION("for a query over three shards") { route = vm.m_fanOut; }
    SECTION("for a query of which a shard refuses altogether")
    {
        route = vm.m_fanOut;
        refusing.emplace_back("e0b");
    }
    SECTION("for requests that may run only once") { route.m_idempotence = Idempotence::NonIdempotent; }
    SECTION("also after the VM has regained its links and forgotten other failures")
    {
        endpoints.m_regainsLinks = true;
    }
    SECTION("if the answer does not say that the request has not run") { endpoints.m_notRun = false; }
    endpoints.play(route, refusing, failEvery);
    CHECK(endpoints.mostArrivals() <= maxArrivals);
}
