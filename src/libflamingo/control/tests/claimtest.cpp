#include "control/apply.h"
#include "control/requestid.h"
#include "control/tests/commandmaker.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace flamingo;

TEST_CASE("Claims let a request run at most once")
{
    Replica replica;
    replica.runOperatorCommand("c1", CreateService { ServiceName("orders"), {} });
    replica.run(admission("vm1"));
    replica.run(admission("vm2"));
    const CommandResult opened = replica.run(openClaim("a", "vm1", 1));
    REQUIRE(opened.m_code == ResultCode::Ok);
    REQUIRE(opened.m_claimOpened);

    SECTION("a resent OpenClaim of the holder opens the claim again")
    {
        REQUIRE(replica.run(openClaim("a", "vm1", 1)).m_claimOpened);
    }
    SECTION("a second run is refused while the first one is in progress")
    {
        REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::StillRunning);
        REQUIRE(replica.run(openClaim("a", "vm1", 2)).m_code == ResultCode::StillRunning);
    }
    // Otherwise the second request would get the recorded answer of the first one.
    SECTION("a request id is refused if it was used with another body")
    {
        REQUIRE(replica.run(openClaim("a", "vm2", 1, 8)).m_code == ResultCode::RequestIdReused);
    }
    SECTION("a settled claim")
    {
        SECTION("a claim settled as done repeats the recorded answer")
        {
            REQUIRE(replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::Done)).m_code == ResultCode::Ok);
            const CommandResult again = replica.run(openClaim("a", "vm2", 1));
            REQUIRE(again.m_code == ResultCode::Ok);
            REQUIRE_FALSE(again.m_claimOpened);
            REQUIRE(again.m_text == "{\"bill\":1}");
            REQUIRE(replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::NotRun)).m_code == ResultCode::AlreadyExists);
        }
        SECTION("a claim settled as done with an answer over 64 KiB never runs again")
        {
            SettleClaim large = settleClaim("a", "vm1", 1, ClaimOutcome::Done);
            large.m_answer.assign(maxAnswerBytes + 1, 'x');
            REQUIRE(replica.run(large).m_code == ResultCode::Ok);
            REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::OutcomeUnknown);
        }
        SECTION("a claim settled as unknown never runs again")
        {
            replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::Unknown));
            REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::OutcomeUnknown);
            REQUIRE(replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::NotRun)).m_code == ResultCode::AlreadyExists);
            REQUIRE(replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::Done)).m_code == ResultCode::Ok);
        }
        SECTION("a claim settled as not run may be opened again, and a delayed settlement of the first run does not "
                "release it")
        {
            replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::NotRun));
            REQUIRE(replica.run(openClaim("a", "vm1", 1)).m_code == ResultCode::ControlUnavailable);
            REQUIRE(replica.run(openClaim("a", "vm1", 2)).m_claimOpened);
            REQUIRE(replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::NotRun)).m_code == ResultCode::UnknownName);
            REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::StillRunning);
        }
    }
    SECTION("a VM cannot settle the claim of another VM")
    {
        REQUIRE(replica.run(settleClaim("a", "vm2", 1, ClaimOutcome::NotRun)).m_code == ResultCode::UnknownName);
        REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::StillRunning);
    }
    SECTION("the claim of a VM that is gone does not stay open")
    {
        SECTION("the VM departed") { replica.run(DepartVm { VmId("vm1"), Incarnation(1) }); }
        SECTION("the VM restarted") { replica.run(admission("vm1", 2)); }
        REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::OutcomeUnknown);
        REQUIRE(replica.run(openClaim("b", "vm1", 2)).m_code == ResultCode::NoLease);
        REQUIRE(replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::Done)).m_code == ResultCode::Ok);
        REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_text == "{\"bill\":1}");
    }
    SECTION("an OpenClaim that arrives after its run was settled as not run is refused")
    {
        SettleClaim givenUp = settleClaim("late", "vm1", 5, ClaimOutcome::NotRun);
        givenUp.m_bodyHash = 7;
        REQUIRE(replica.run(givenUp).m_code == ResultCode::Ok);
        REQUIRE(replica.run(openClaim("late", "vm1", 5)).m_code == ResultCode::ControlUnavailable);
        REQUIRE(replica.run(openClaim("late", "vm2", 1)).m_claimOpened);
    }
    SECTION("a request cannot run again after its claim has expired")
    {
        replica.run(settleClaim("a", "vm1", 1, ClaimOutcome::Unknown));
        replica.advanceTime(claimWindow);
        REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::OutcomeUnknown);
        replica.advanceTime(std::chrono::milliseconds(1));
        REQUIRE(replica.m_state.m_claims.empty());
        REQUIRE(replica.m_state.m_claimBytes == 0);
        REQUIRE(replica.run(openClaim("a", "vm2", 1)).m_code == ResultCode::RequestIdExpired);
    }
    SECTION("request ids ahead of log time or without a time are refused")
    {
        OpenClaim claim = openClaim("x", "vm1", 1);
        claim.m_request = requestId("x", startSeconds + 301);
        REQUIRE(replica.run(claim).m_code == ResultCode::RequestIdExpired);
        for (const char* text : { "", "-", "12", "12-", "x-1", "1234567890123-1", "12-a b" }) {
            claim.m_request = RequestId(text);
            REQUIRE(replica.run(claim).m_code == ResultCode::InvalidField);
        }
    }
    SECTION("claims use at most 64 MiB")
    {
        std::uint64_t run = 10;
        ResultCode code = ResultCode::Ok;
        while (code == ResultCode::Ok && run < 2000) {
            const std::string token = "big" + std::to_string(++run);
            code = replica.run(openClaim(token, "vm1", run)).m_code;
            SettleClaim done = settleClaim(token, "vm1", run, ClaimOutcome::Done);
            done.m_answer.assign(maxAnswerBytes, 'x');
            replica.run(done);
        }
        // Answers that exceed the limit are not stored, so the remaining memory is filled with claims without answers.
        for (; code == ResultCode::Ok && run < 400000; ++run)
            code = replica.run(openClaim("small" + std::to_string(run), "vm1", run)).m_code;
        REQUIRE(code == ResultCode::ClaimsFull);
        REQUIRE(replica.m_state.m_claimBytes <= maxClaimBytes);
        REQUIRE(replica.run(openClaim("a", "vm1", 1)).m_claimOpened);
    }
}

TEST_CASE("Claims match a simple model")
{
    rc::prop("a run opens the claim only if no other run may have sent the request", []() {
        Replica replica;
        replica.runOperatorCommand("c1", CreateService { ServiceName("orders"), {} });
        // For each opened run: whether it may have sent the request, which is false after it was settled as not run.
        std::map<std::pair<std::string, std::uint64_t>, bool> open;
        const int steps = *rc::gen::inRange(0, 60);
        for (int step = 0; step < steps; ++step) {
            const std::string vm = *rc::gen::element<std::string>("vm1", "vm2");
            const auto run = *rc::gen::inRange<std::uint64_t>(1, 4);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                replica.run(admission(vm));
                break;
            case 1:
                replica.run(DepartVm { VmId(vm), Incarnation(1) });
                break;
            case 2:
                if (replica.run(openClaim("a", vm, run)).m_claimOpened) {
                    for (const auto& [holder, maySend] : open)
                        RC_ASSERT(!maySend || holder == std::make_pair(vm, run));
                    open[{ vm, run }] = true;
                }
                break;
            default:
                const auto outcome = *rc::gen::element(ClaimOutcome::Done, ClaimOutcome::NotRun, ClaimOutcome::Unknown);
                const auto holder = open.find({ vm, run });
                // In this model each run that is settled as not run has not sent the request.
                if (replica.run(settleClaim("a", vm, run, outcome)).m_code == ResultCode::Ok
                    && outcome == ClaimOutcome::NotRun && holder != open.end())
                    holder->second = false;
            }
        }
    });
}
