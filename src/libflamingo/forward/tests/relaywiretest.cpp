#include "forward/relaywire.h"
#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace flamingo;

namespace {

HttpRequest relayCall(const ForwardRequest& request, const char* timeLeft = "500")
{
    EndpointCall call;
    writeRelayCall(request, Milliseconds(80), call);
    HttpRequest http;
    http.m_target = call.m_path;
    http.m_body = call.m_body;
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
    SECTION("a VM that lost its links itself gives no answer for the caller")
    {
        ForwardAnswer failure;
        failure.m_code = ResultCode::EndpointFailed;
        failure.m_cutOff = true;
        const HttpResponse response = encodeRelayAnswer(failure);
        CHECK(response.m_status == 502);
        CHECK_FALSE(decodeRelayAnswer(response.m_body));
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
