#include "forward/relaywire.h"
#include "forward/mergewire.h"
#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace flamingo;

namespace {

HttpRequest relayCall(const ForwardRequest& request, const char* timeLeft = "500")
{
    EndpointCall call;
    writeRelayCall(request, *request.m_route, Milliseconds(80), call);
    HttpRequest http;
    http.m_target = call.m_path;
    http.m_body = call.m_body;
    http.m_fields = call.m_fields;
    http.m_fields.push_back({ "X-Flamingo-Deadline-Ms", timeLeft });
    return http;
}

} // namespace

TEST_CASE("a relayed request is handled by the route of the VM that relays it", "[forward]")
{
    ForwardFixture vm(3);
    ForwardRequest request = vm.execution(vm.m_fanOut).m_request;
    request.m_target = "/all/1";
    request.m_fields = { { "X-Other", "kept" } };
    request.m_body = std::string("a\0\xff", 3);
    request.m_version = ConfigurationVersion(7);

    ForwardRequest decoded;
    Reason reason;
    REQUIRE(isRelayCall(relayCall(request)));
    REQUIRE(decodeRelayCall(relayCall(request), decoded, reason));
    CHECK(decoded.m_relayed);
    CHECK(decoded.m_id == request.m_id);
    CHECK(decoded.m_target == "/all/1");
    CHECK(decoded.m_body == request.m_body);
    CHECK(decoded.m_goalLeft == Milliseconds(80));
    CHECK(decoded.m_timeLeft == Milliseconds(500));
    CHECK(decoded.m_version == ConfigurationVersion(7));
    CHECK(decoded.m_route->m_shards == vm.m_fanOut.m_shards);
    CHECK(decoded.m_route->m_minAnsweredShare == vm.m_fanOut.m_minAnsweredShare);
    CHECK(decoded.m_route->m_idempotence == Idempotence::Idempotent);

    SECTION("a call without time left is refused as not run")
    {
        CHECK_FALSE(decodeRelayCall(relayCall(request, "0"), decoded, reason));
        CHECK(resultClass(reason.m_code) == ResultClass::NotRun);
    }
    SECTION("a refusal is recognised by its headers, so that another VM can be asked")
    {
        ForwardAnswer refusal;
        refusal.m_code = ResultCode::NoEndpoint;
        const HttpResponse response = encodeRelayAnswer(refusal);
        CHECK(response.m_status == 503);
        CHECK(findField(response.m_fields, "X-Flamingo-Not-Run") == "1");
    }
    SECTION("a VM that lost its links itself gives no answer for the caller, and says how many attempts it used")
    {
        ForwardAnswer failure;
        failure.m_code = ResultCode::EndpointFailed;
        failure.m_cutOff = true;
        failure.m_usedAttempts = 1;
        const HttpResponse response = encodeRelayAnswer(failure);
        CHECK(response.m_status == 502);
        CHECK_FALSE(decodeRelayAnswer(response.m_body));
        EndpointReply reply;
        for (const HttpField& field : response.m_fields)
            mergeProtocol().m_readField(reply, field.m_name, field.m_value);
        CHECK(reply.m_usedAttempts == 1U);
    }
    SECTION("the call states the attempts that it grants, also to a VM that only reads the route")
    {
        Route granted = vm.m_fanOut;
        granted.m_maxAttempts = 1;
        EndpointCall call;
        writeRelayCall(request, granted, Milliseconds(80), call);
        const std::string header = mergeProtocol().m_formatHeader(call, Milliseconds(500));
        CHECK(header.find("\r\nX-Flamingo-Granted-Attempts: 1\r\n") != std::string::npos);
        CHECK(header.find("\r\n\r\n") == header.size() - 4);
        HttpRequest http = relayCall(request);
        http.m_body = call.m_body;
        REQUIRE(decodeRelayCall(http, decoded, reason));
        CHECK(decoded.m_route->m_maxAttempts == 1);
        CHECK(decoded.m_attemptsGranted);
    }
    SECTION("a call of a VM that does not count attempts over all VMs gets a single one")
    {
        HttpRequest http = relayCall(request);
        http.m_fields.erase(http.m_fields.begin());
        REQUIRE(findField(http.m_fields, "X-Flamingo-Granted-Attempts").empty());
        REQUIRE(decodeRelayCall(http, decoded, reason));
        CHECK(decoded.m_route->m_maxAttempts == 1);
        CHECK_FALSE(decoded.m_attemptsGranted);
    }
    SECTION("a call that grants no attempt is refused")
    {
        Route exhausted = vm.m_fanOut;
        exhausted.m_maxAttempts = 0;
        EndpointCall call;
        writeRelayCall(request, exhausted, Milliseconds(80), call);
        HttpRequest http = relayCall(request);
        http.m_fields.front() = call.m_fields.front();
        CHECK_FALSE(decodeRelayCall(http, decoded, reason));
    }
    SECTION("an answer of an endpoint is passed on unchanged")
    {
        ForwardAnswer answer;
        answer.m_kind = ForwardAnswer::Kind::Passed;
        answer.m_status = 206;
        answer.m_fields = { { "Content-Type", "text/plain" } };
        answer.m_body = request.m_body;
        answer.m_receipts = { "receipt" };
        const auto copy = decodeRelayAnswer(encodeRelayAnswer(answer).m_body);
        REQUIRE(copy);
        CHECK(copy->m_status == 206);
        CHECK(copy->m_body == answer.m_body);
        CHECK(copy->m_receipts == answer.m_receipts);
        CHECK(findField(copy->m_fields, "Content-Type") == "text/plain");
    }
    // Guards against a message that ends the process or passes for an answer.
    rc::prop("calls and answers that are cut short or changed are refused or read, without an error", [&request] {
        HttpRequest call = relayCall(request);
        ForwardAnswer answer;
        answer.m_kind = ForwardAnswer::Kind::Merged;
        answer.m_receipts = { "a", "b" };
        std::string body = *rc::gen::arbitrary<bool>() ? call.m_body : encodeRelayAnswer(answer).m_body;
        const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
        if (*rc::gen::arbitrary<bool>()) {
            body.resize(position);
            RC_ASSERT(!decodeRelayAnswer(body));
        } else {
            body[position] = *rc::gen::arbitrary<char>();
        }
        call.m_body = body;
        ForwardRequest changed;
        Reason why;
        decodeRelayCall(call, changed, why);
        decodeRelayAnswer(body);
    });
}
