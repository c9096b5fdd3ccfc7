#include "forward/mergewire.h"
#include "forward/relaywire.h"
#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace flamingo;

namespace {

EndpointReply leaving(EndpointReply reply)
{
    reply.m_leaving = true;
    return reply;
}

/** Sends requests one after the other and returns how many calls each endpoint got. All endpoints answer. */
std::map<std::string, int> callsOf(ForwardFixture& vm, const Route& route, int requests)
{
    std::map<std::string, int> calls;
    for (int number = 0; number < requests; ++number) {
        ForwardExecution execution = vm.execution(route);
        for (const ForwardEffects::Send& send : vm.start(execution).m_sends) {
            ++calls[send.m_call.m_endpoint.value()];
            vm.reply(execution, send, ForwardFixture::success("r"));
        }
        vm.m_now += Milliseconds(10);
    }
    return calls;
}

/** Lets the endpoint that is called first answer that it leaves, and returns its id. */
std::string learnFromAnswer(ForwardFixture& vm, const Route& route, const EndpointReply& reply)
{
    ForwardExecution execution = vm.execution(route);
    const ForwardEffects started = vm.start(execution);
    vm.reply(execution, started.m_sends[0], leaving(reply));
    return started.m_sends[0].m_call.m_endpoint.value();
}

/** Returns the reply that another VM gets for the response. */
EndpointReply received(const HttpResponse& response)
{
    EndpointReply reply;
    reply.m_outcome = CallOutcome::Answered;
    reply.m_status = response.m_status;
    reply.m_body = response.m_body;
    for (const HttpField& field : response.m_fields)
        mergeProtocol().m_readField(reply, field.m_name, field.m_value);
    return reply;
}

} // namespace

TEST_CASE("an endpoint that says in an answer that it leaves gets no further calls", "[forward]")
{
    ForwardFixture vm(2);
    EndpointReply reply = ForwardFixture::success("r");
    Route route = vm.m_single;

    SECTION("whatever the answer is")
    {
        SECTION("a success") { }
        SECTION("a success of a shard") { route = vm.m_fanOut; }
        SECTION("a refusal") { reply = ForwardFixture::refusal(); }
        SECTION("a failure") { reply.m_status = 500; }
        const std::string left = learnFromAnswer(vm, route, reply);
        vm.m_now += Milliseconds(1000);
        CHECK(callsOf(vm, vm.m_fanOut, 100)[left] == 0);
        CHECK(vm.m_state.m_routing.m_newlyLeaving.size() == 1);
    }
    SECTION("not if it is no answer of that endpoint")
    {
        reply = ForwardFixture::refusal();
        reply.m_wrongEndpoint = true;
        learnFromAnswer(vm, route, reply);
        CHECK(vm.m_state.m_routing.m_newlyLeaving.empty());
    }
    SECTION("also if the control VMs still call it ready, or have lost sight of it meanwhile")
    {
        const std::string left = learnFromAnswer(vm, route, reply);
        const EndpointRecord record = vm.m_published.m_endpoints.at(EndpointId(left));
        vm.m_published.m_endpoints.erase(EndpointId(left));
        vm.apply();
        vm.m_published.m_endpoints[record.m_id] = record;
        vm.apply();
        CHECK(callsOf(vm, route, 100)[left] == 0);
    }
    SECTION("until it has started again")
    {
        const std::string left = learnFromAnswer(vm, route, reply);
        for (auto& [id, record] : vm.m_published.m_endpoints)
            record.m_draining = id.value() != left;
        vm.apply();
        CHECK(callsOf(vm, route, 10)[left] == 0);
        vm.m_published.m_endpoints[EndpointId(left)].m_incarnation = Incarnation(2);
        vm.apply();
        CHECK(callsOf(vm, route, 10)[left] == 10);
    }
    SECTION("if all endpoints leave, requests are refused at once as not run")
    {
        learnFromAnswer(vm, route, reply);
        learnFromAnswer(vm, route, reply);
        ForwardExecution execution = vm.execution(route);
        const auto answer = vm.start(execution).m_answer;
        REQUIRE(answer);
        CHECK(resultClass(answer->m_code) == ResultClass::NotRun);
    }
}

// Guards against calls of a VM that has passed on an endpoint's answer, which another VM got.
TEST_CASE("a VM that gets answers through another one learns which endpoints leave", "[forward]")
{
    ForwardFixture other(2);
    ForwardFixture vm(2);
    ForwardExecution served = other.execution(other.m_single);
    const ForwardEffects started = other.start(served);
    const std::string left = started.m_sends[0].m_call.m_endpoint.value();
    auto answer = other.reply(served, started.m_sends[0], leaving(ForwardFixture::success("r"))).m_answer;
    REQUIRE(answer);
    CHECK(answer->m_leavingEndpoints.size() == 1);

    ForwardExecution execution = vm.execution(vm.m_single);
    vm.m_state.m_reachability.m_cutOff = true;
    vm.m_state.m_settings.m_mergePort = 7000;
    VmRecord record;
    record.m_id = VmId("vm1");
    record.m_address = "10.0.0.1:80";
    vm.m_published.m_vms[record.m_id] = record;
    vm.apply();

    SECTION("one that serves a request for it")
    {
        const ForwardEffects relayed = vm.start(execution);
        REQUIRE(relayed.m_sends.size() == 1);
        REQUIRE(relayed.m_sends[0].m_toVm);
        const auto passed = vm.reply(execution, relayed.m_sends[0], received(encodeRelayAnswer(*answer))).m_answer;
        REQUIRE(passed);
        CHECK(passed->m_kind == ForwardAnswer::Kind::Passed);
        vm.m_state.m_reachability.m_cutOff = false;
        CHECK(callsOf(vm, vm.m_single, 100)[left] == 0);
    }
    SECTION("one that merges shards for it")
    {
        answer->m_kind = ForwardAnswer::Kind::Merged;
        const EndpointReply reply = received(encodeMergeAnswer(*answer));
        CHECK(reply.m_leavingEndpoints == answer->m_leavingEndpoints);
        CHECK(decodeMergeReply(reply.m_body));
    }
    SECTION("a malformed name of an endpoint is ignored")
    {
        EndpointReply reply;
        for (const char* text : { "", "1", "1 ", " e", "-1 e", "x e", "99999999999999999999999 e" })
            mergeProtocol().m_readField(reply, "X-Flamingo-Leaving-Endpoint", text);
        CHECK(reply.m_leavingEndpoints.empty());
    }
}
