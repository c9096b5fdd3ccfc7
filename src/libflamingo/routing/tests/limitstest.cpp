#include "base/hash.h"
#include "routing/admission.h"
#include "routing/connectionshare.h"
#include "routing/extraloadbudget.h"
#include "routingfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>

using namespace flamingo;
using namespace flamingo::testing;

TEST_CASE("connections of an endpoint are shared between VMs", "[routing]")
{
    rc::prop("guards against more connections than an endpoint allows, also while VMs join", [] {
        const auto limit = *rc::gen::inRange<std::uint32_t>(0, 70);
        const auto count = *rc::gen::inRange<std::size_t>(1, 90);
        const std::uint64_t endpoint = hashBytes("e" + std::to_string(*rc::gen::inRange(0, 1000)));
        std::vector<std::uint64_t> vms;
        std::map<std::uint64_t, std::uint32_t> before;
        for (std::size_t i = 0; i < count; ++i) {
            vms.push_back(hashBytes("vm" + std::to_string(i)));
            std::uint32_t sum = 0;
            for (const std::uint64_t vm : vms) {
                const std::uint32_t share = connectionShare(limit, vm, vms, endpoint);
                sum += share;
                if (before.count(vm) > 0)
                    RC_ASSERT(share <= before[vm]);
                before[vm] = share;
            }
            RC_ASSERT(sum <= limit);
            const bool used = limit < vms.size() ? sum == limit : sum + vms.size() > limit;
            RC_ASSERT(used);
        }
        RC_ASSERT(connectionShare(limit, hashBytes("not admitted"), vms, endpoint) == 0U);
    });
}

TEST_CASE("an endpoint without a share for this VM", "[routing]")
{
    INFO("guards against queries that wait until their deadline for a replica they may not connect to");
    PublishedState state = stateWithShards({ 1 });
    EndpointRecord narrow = endpointRecord("narrow", 0);
    narrow.m_connections = 1;
    addEndpoint(state, narrow);
    for (int i = 2; i <= 40; ++i)
        state.m_vms[VmId("vm" + std::to_string(i))].m_id = VmId("vm" + std::to_string(i));
    RoutingState routing = routingFor(state);
    RandomEngine random(1);
    const auto& snapshot = findService(routing.m_table, verses)->m_snapshots.begin()->second;
    REQUIRE(endpointShare(routing.m_table, indexOf(routing, "narrow")) == 0);
    const EndpointChoice choice = chooseEndpoint(routing, { snapshot.m_replicas[0], {}, {} }, random, at(0));
    CHECK_FALSE(choice.m_endpoint);
    CHECK_FALSE(choice.m_busy);
}

TEST_CASE("the extra-load budget", "[routing]")
{
    rc::prop("guards against extra load beyond the fraction and the burst", [](const std::vector<bool>& spends) {
        ExtraLoadBudget budget;
        std::uint64_t spent = 0;
        for (const bool spend : spends) {
            if (!spend)
                earnExtraLoad(budget);
            else if (spendExtraLoad(budget))
                ++spent;
            RC_ASSERT(double(spent) <= budget.m_burst + budget.m_fraction * double(budget.m_firstAttempts) + 1e-9);
        }
    });
}

TEST_CASE("the latency distribution gives the hedge delay", "[routing]")
{
    rc::prop("guards against a wrong quantile: within a bucket of the exact one", [] {
        auto samples = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5000000));
        RC_PRE(!samples.empty());
        LatencyDistribution distribution;
        for (const int sample : samples)
            addLatency(distribution, Microseconds(sample), at(0));
        std::sort(samples.begin(), samples.end());
        for (const double fraction : { 0.5, 0.95, 0.99 }) {
            const auto rank = static_cast<std::size_t>(std::ceil(fraction * double(samples.size())));
            const double exact = samples[std::max<std::size_t>(rank, 1) - 1];
            distribution.m_cacheUses = 0;
            const double measured = double(latencyQuantile(distribution, fraction)->count());
            RC_ASSERT(measured >= exact);
            RC_ASSERT(measured <= exact * 1.07 + 1);
        }
    });

    SECTION("guards against hedges at once from a few fast samples, and from samples of long ago")
    {
        const RoutingSettings settings;
        LatencyDistribution distribution;
        for (int i = 0; i < 99; ++i)
            addLatency(distribution, Microseconds(100), at(0));
        CHECK(hedgeDelay(distribution, settings) == settings.m_initialHedgeDelay);
        addLatency(distribution, Microseconds(100), at(0));
        CHECK(hedgeDelay(distribution, settings) == settings.m_shortestHedgeDelay);
        addLatency(distribution, Microseconds(100), at(60000));
        CHECK(hedgeDelay(distribution, settings) == settings.m_initialHedgeDelay);
    }
}

TEST_CASE("admission bounds the executions of a service", "[routing]")
{
    AdmissionSettings settings;
    settings.m_startLimit = 40;
    Admission admission = makeAdmission(settings);
    Reason reason;
    const CallerClass flood("flood");
    const CallerClass calm("calm");
    const auto admitAll = [&](const CallerClass& who, MonotonicTime now) {
        int admitted = 0;
        while (admitted < 1000 && admitExecution(admission, who, now, reason))
            ++admitted;
        return admitted;
    };

    SECTION("guards against one class that starves another")
    {
        CHECK(admitAll(flood, at(0)) == 40);
        CHECK(reason.m_code == ResultCode::Overloaded);
        CHECK(admitAll(calm, at(1)) == 20);
        for (int i = 0; i < 30; ++i)
            endExecution(admission, flood, Microseconds(0), Microseconds(1000), at(2));
        CHECK(admitAll(flood, at(3)) == 10);

        SECTION("that was active a moment ago")
        {
            for (int i = 0; i < 20; ++i)
                endExecution(admission, calm, Microseconds(0), Microseconds(1000), at(4));
            CHECK(admitAll(flood, at(5)) == 0);
            CHECK(admitAll(flood, at(5000)) == 20);
        }
        SECTION("by weight")
        {
            setClassWeight(admission, calm, 3.0);
            CHECK(admitAll(calm, at(4)) == 10);
        }
    }

    SECTION("guards against growing queues: the limit shrinks while executions wait, and grows back")
    {
        std::int64_t now = 0;
        const auto run = [&](Microseconds wait, Microseconds elapsed) {
            for (int round = 0; round < 40; ++round) {
                const int admitted = admitAll(flood, at(now));
                now += 110;
                for (int i = 0; i < admitted; ++i)
                    endExecution(admission, flood, wait, wait + elapsed, at(now));
            }
        };
        run(Microseconds(0), Microseconds(5000));
        const double relaxed = admission.m_limit;
        CHECK(relaxed > 60);
        SECTION("because of waits for a free endpoint") { run(Microseconds(9000), Microseconds(1000)); }
        SECTION("because endpoints take longer than usual") { run(Microseconds(0), Microseconds(30000)); }
        CHECK(admission.m_limit < relaxed / 2);
        const double shrunk = admission.m_limit;
        run(Microseconds(0), Microseconds(5000));
        CHECK(admission.m_limit > shrunk * 2);
    }

    SECTION("guards against memory that grows with invented class names")
    {
        for (int i = 0; i < 500; ++i)
            admitExecution(admission, CallerClass("class" + std::to_string(i)), at(0), reason);
        CHECK(admission.m_classes.size() <= settings.m_mostClasses);
        CHECK(admission.m_classes.count(CallerClass("other")) == 1);
    }
}
