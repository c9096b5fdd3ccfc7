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

TEST_CASE("VMs share the connections of an endpoint", "[routing]")
{
    rc::prop("the shares never exceed the limit of the endpoint, also while VMs join", [] {
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

TEST_CASE("an endpoint to which this VM has no connections is not a replica", "[routing]")
{
    INFO("guards against queries that wait until their deadline for a replica that the VM may not connect to");
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

TEST_CASE("the extra-load budget limits hedges and retries", "[routing]")
{
    rc::prop("the tokens spent never exceed the fraction and the burst", [](const std::vector<bool>& spends) {
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

TEST_CASE("the hedge delay follows the latency distribution", "[routing]")
{
    rc::prop("a quantile is accurate to one bucket", [] {
        auto samples = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5000000));
        RC_PRE(!samples.empty());
        LatencyDistribution distribution;
        for (const int sample : samples)
            addLatency(distribution, Microseconds(sample), at(0));
        std::sort(samples.begin(), samples.end());
        for (const double fraction : { 0.5, 0.95, 0.99 }) {
            const auto rank = static_cast<std::size_t>(std::ceil(fraction * double(samples.size())));
            const double exact = samples[std::max<std::size_t>(rank, 1) - 1];
            distribution.m_cacheSamplesLeft = 0;
            const double measured = double(latencyQuantile(distribution, fraction)->count());
            RC_ASSERT(measured >= exact);
            RC_ASSERT(measured <= exact * 1.07 + 1);
        }
    });

    // Otherwise a few fast samples, or samples of long ago, would cause hedges almost at once.
    SECTION("the initial hedge delay is used with too few or outdated samples")
    {
        const RoutingSettings settings;
        LatencyDistribution distribution;
        for (int i = 0; i < 99; ++i)
            addLatency(distribution, Microseconds(100), at(0));
        CHECK(hedgeDelay(distribution, settings) == settings.m_initialHedgeDelay);
        addLatency(distribution, Microseconds(100), at(0));
        CHECK(hedgeDelay(distribution, settings) == settings.m_minHedgeDelay);
        addLatency(distribution, Microseconds(100), at(60000));
        CHECK(hedgeDelay(distribution, settings) == settings.m_initialHedgeDelay);
    }
}

TEST_CASE("admission limits the executions of a service", "[routing]")
{
    AdmissionSettings settings;
    settings.m_initialLimit = 40;
    Admission admission = makeAdmission(settings);
    Reason reason;
    const CallerClass heavy("heavy");
    const CallerClass light("light");
    const auto admitAll = [&](const CallerClass& who, MonotonicTime now) {
        int admitted = 0;
        while (admitted < 1000 && admitExecution(admission, who, now, reason))
            ++admitted;
        return admitted;
    };

    SECTION("one caller class cannot starve another")
    {
        CHECK(admitAll(heavy, at(0)) == 40);
        CHECK(reason.m_code == ResultCode::Overloaded);
        CHECK(admitAll(light, at(1)) == 20);
        for (int i = 0; i < 30; ++i)
            endExecution(admission, heavy, Microseconds(0), Microseconds(1000), at(2));
        CHECK(admitAll(heavy, at(3)) == 10);

        SECTION("a recently active class keeps its share until the idle time has passed")
        {
            for (int i = 0; i < 20; ++i)
                endExecution(admission, light, Microseconds(0), Microseconds(1000), at(4));
            CHECK(admitAll(heavy, at(5)) == 0);
            CHECK(admitAll(heavy, at(5000)) == 20);
        }
        SECTION("shares are in proportion to the weights")
        {
            setClassWeight(admission, light, 3.0);
            CHECK(admitAll(light, at(4)) == 10);
        }
    }

    // Otherwise the queues would grow under overload.
    SECTION("the limit shrinks while executions are delayed, and grows back")
    {
        std::int64_t now = 0;
        const auto run = [&](Microseconds wait, Microseconds elapsed) {
            for (int round = 0; round < 40; ++round) {
                const int admitted = admitAll(heavy, at(now));
                now += 110;
                for (int i = 0; i < admitted; ++i)
                    endExecution(admission, heavy, wait, wait + elapsed, at(now));
            }
        };
        run(Microseconds(0), Microseconds(5000));
        const double relaxed = admission.m_limit;
        CHECK(relaxed > 60);
        SECTION("executions wait for a free endpoint") { run(Microseconds(9000), Microseconds(1000)); }
        SECTION("executions take longer than the baseline") { run(Microseconds(0), Microseconds(30000)); }
        CHECK(admission.m_limit < relaxed / 2);
        const double shrunk = admission.m_limit;
        run(Microseconds(0), Microseconds(5000));
        CHECK(admission.m_limit > shrunk * 2);
    }

    // Otherwise invented class names could exhaust the memory.
    SECTION("the number of caller classes is limited, whatever names callers send")
    {
        for (int i = 0; i < 500; ++i)
            admitExecution(admission, CallerClass("class" + std::to_string(i)), at(0), reason);
        CHECK(admission.m_classes.size() <= settings.m_maxClasses);
        CHECK(admission.m_classes.count(CallerClass("other")) == 1);
    }
}
