#include "base/hash.h"
#include "routing/connectionshare.h"
#include "virtualdaemon.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <set>

using namespace flamingo;
using namespace flamingo::testing;

namespace {

const ServiceName verses("verses");

EndpointReply answerTo(const EndpointCall& call)
{
    EndpointReply reply;
    reply.m_outcome = CallOutcome::Answered;
    reply.m_status = 200;
    reply.m_request = call.m_request;
    reply.m_attempt = call.m_attempt;
    reply.m_snapshot = call.m_snapshot;
    reply.m_layout = call.m_layout;
    reply.m_shard = call.m_shard;
    reply.m_body = "[]";
    return reply;
}

EndpointReply connectionLost()
{
    EndpointReply reply;
    reply.m_outcome = CallOutcome::ConnectionLost;
    return reply;
}

PublishedState stateOf(unsigned shards)
{
    PublishedState state;
    state.m_services[verses].m_name = verses;
    SnapshotLayout layout { { verses, SnapshotVersion(1), LayoutId(1) }, std::vector<std::uint32_t>(shards, 1) };
    state.m_layouts[layout.m_key] = layout;
    for (unsigned i = 0; i < 2 * shards; ++i) {
        EndpointRecord record;
        record.m_id = EndpointId("e" + std::to_string(i));
        record.m_service = verses;
        record.m_dataCentre = DataCentreName(i % 2 == 0 ? "a" : "b");
        record.m_holdings = { { SnapshotVersion(1), LayoutId(1), ShardIndex(i / 2) } };
        record.m_slots = 4;
        record.m_connections = 60;
        state.m_endpoints[record.m_id] = record;
    }
    return state;
}

/** Several VMs that share a set of endpoints, and a control VM that counts endpoint deaths. */
struct Cluster {
    VirtualTime m_time;
    PublishedState m_state;
    std::vector<std::unique_ptr<VirtualDaemon>> m_vms;
    std::set<EndpointId> m_dead;
    std::set<EndpointId> m_exposed; // endpoints that received the crashing request
    std::map<Fingerprint, std::set<EndpointId>> m_deaths;
    std::function<Microseconds()> m_delay = [] { return Microseconds(1000); };

    Cluster(unsigned vms, unsigned shards)
        : m_state(stateOf(shards))
    {
        for (unsigned i = 0; i < vms; ++i) {
            RoutingSettings settings;
            settings.m_dataCentre = DataCentreName(i % 2 == 0 ? "a" : "b");
            settings.m_vm = VmId("vm" + std::to_string(i));
            m_state.m_vms[settings.m_vm].m_id = settings.m_vm;
            m_vms.push_back(std::make_unique<VirtualDaemon>(m_time, settings, i));
            VirtualDaemon& vm = *m_vms.back();
            vm.m_transport
                = [this](const EndpointCall& call, ReplyTo replyTo) { handleCall(call, std::move(replyTo)); };
            vm.m_report = [this](const ReportDeath& death, std::function<void(bool)> decided) {
                m_time.after(m_delay(), [this, death, decided] { recordDeath(death, decided); });
            };
        }
        for (auto& vm : m_vms)
            vm->apply(std::make_shared<PublishedState>(m_state));
    }

    void handleCall(const EndpointCall& call, ReplyTo replyTo)
    {
        if (m_dead.count(call.m_endpoint) > 0) {
            m_time.after(Microseconds(300), [replyTo] { replyTo(EndpointReply()); });
            return;
        }
        const bool crashes = call.m_body == "crash";
        if (crashes)
            m_exposed.insert(call.m_endpoint);
        m_time.after(m_delay(), [this, call, replyTo, crashes] {
            if (crashes)
                m_dead.insert(call.m_endpoint);
            replyTo(crashes ? connectionLost() : answerTo(call));
        });
    }

    void recordDeath(const ReportDeath& death, const std::function<void(bool)>& decided)
    {
        const Fingerprint fingerprint = death.m_suspects.front();
        m_deaths[fingerprint].insert(death.m_endpoint);
        const bool quarantined = m_deaths[fingerprint].size() >= 2;
        if (quarantined && m_state.m_quarantine.count(fingerprint) == 0) {
            m_state.m_quarantine[fingerprint].m_fingerprint = fingerprint;
            for (auto& vm : m_vms) {
                m_time.after(m_delay(), [&vm, state = std::make_shared<PublishedState>(m_state)] { vm->apply(state); });
            }
        }
        m_time.after(m_delay(), [decided, quarantined] { decided(quarantined); });
    }

    static QueryRequest request(const std::string& body)
    {
        QueryRequest request;
        request.m_id = RequestId("q");
        request.m_service = verses;
        request.m_body = body;
        return request;
    }

    // Sends the request through the VM. Each time it fails, sends it again through another VM, `resends` times in
    // total.
    void sendRepeatedly(std::size_t vm, const std::string& body, unsigned resends)
    {
        m_vms[vm]->start(request(body), [=](const QueryExecution&, const QueryAnswer& answer) {
            RC_ASSERT(answer.m_code != ResultCode::Ok);
            if (resends > 0)
                m_time.after(m_delay(), [=] { sendRepeatedly((vm + resends) % m_vms.size(), body, resends - 1); });
        });
    }

    QueryAnswer runQuery(const std::string& body)
    {
        QueryAnswer result;
        m_vms[0]->start(request(body), [&](const QueryExecution&, const QueryAnswer& answer) { result = answer; });
        while (m_time.runNext()) { }
        return result;
    }
};

} // namespace

TEST_CASE("a request that crashes endpoints is quarantined", "[query]")
{
    rc::prop("a crashing request that three VMs send repeatedly reaches at most two endpoints", [] {
        Cluster cluster(3, 8);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const auto slowest = *rc::gen::element(2000, 20000, 120000);
        cluster.m_delay = [&random, slowest] { return Microseconds(random() % slowest); };
        for (std::size_t vm = 0; vm < 3; ++vm)
            cluster.m_time.after(cluster.m_delay(), [&cluster, vm] { cluster.sendRepeatedly(vm, "crash", 6); });
        while (cluster.m_time.runNext()) { }
        RC_ASSERT(cluster.m_exposed.size() <= 2U);
        RC_ASSERT(cluster.m_state.m_quarantine.size() == 1U);
    });

    SECTION("a request is not quarantined for a crash that another request caused at the same endpoint")
    {
        Cluster cluster(1, 1);
        auto& vm = *cluster.m_vms[0];
        std::vector<std::pair<MonotonicTime, EndpointId>> sent;
        vm.m_transport = [&](const EndpointCall& call, ReplyTo replyTo) {
            const bool first = sent.empty() || sent.front().second == call.m_endpoint;
            sent.emplace_back(cluster.m_time.now(), call.m_endpoint);
            // The first endpoint loses the connections of both requests. The second one answers.
            cluster.m_time.after(Microseconds(5000), [=] { replyTo(first ? connectionLost() : answerTo(call)); });
        };
        // Finds two requests that rank the same endpoint first.
        const auto firstRank = [](const std::string& body) {
            const std::uint64_t fingerprint = requestFingerprint(verses, "query", body).value();
            return rendezvousScore(fingerprint, hashBytes("e0")) > rendezvousScore(fingerprint, hashBytes("e1"));
        };
        std::vector<std::string> bodies;
        for (int i = 0; bodies.size() < 2; ++i) {
            if (firstRank(std::to_string(i)))
                bodies.push_back(std::to_string(i));
        }
        int answered = 0;
        for (const std::string& body : bodies)
            vm.start(Cluster::request(body), [&](const QueryExecution&, const QueryAnswer& answer) {
                answered += answer.m_code == ResultCode::Ok ? 1 : 0;
            });
        while (cluster.m_time.runNext()) { }
        CHECK(answered == 2);
        REQUIRE(sent.size() == 4);
        CHECK(sent[0].second == sent[1].second);
        CHECK(sent[2].second == sent[3].second);
        CHECK(sent[3].first - sent[2].first >= Milliseconds(5));
    }
}

TEST_CASE("a new request is sent to one endpoint before the others", "[query]")
{
    Cluster cluster(1, 8);
    std::size_t calls = 0;
    std::size_t callsAtFirstReply = 0;
    cluster.m_vms[0]->m_transport = [&](const EndpointCall& call, ReplyTo replyTo) {
        ++calls;
        cluster.m_time.after(Microseconds(2000), [&, call, replyTo] {
            callsAtFirstReply = callsAtFirstReply == 0 ? calls : callsAtFirstReply;
            replyTo(answerTo(call));
        });
    };
    const QueryAnswer answer = cluster.runQuery("new");
    CHECK(answer.m_code == ResultCode::Ok);
    CHECK(answer.m_coverage == 1.0);
    CHECK(callsAtFirstReply == 1);

    SECTION("the answer of the canary call counts as the answer of its shard, so that there is no extra call")
    {
        CHECK(calls == 8);
        CHECK(answer.m_endpointRequests == 8);
    }
    SECTION("a request that succeeded before is sent to all shards at once, without a wait for a canary")
    {
        callsAtFirstReply = 0;
        calls = 0;
        cluster.runQuery("new");
        CHECK(callsAtFirstReply == 8);
    }
    SECTION("a service with the canary stage turned off sends a new request to all shards at once")
    {
        cluster.m_state.m_services[verses].m_canary = false;
        cluster.m_vms[0]->apply(std::make_shared<PublishedState>(cluster.m_state));
        callsAtFirstReply = 0;
        calls = 0;
        cluster.runQuery("other");
        CHECK(callsAtFirstReply == 8);
    }
    SECTION("a new request succeeds although the first endpoint never answers")
    {
        std::set<EndpointId> silent;
        cluster.m_vms[0]->m_transport = [&](const EndpointCall& call, ReplyTo replyTo) {
            if (silent.empty())
                silent.insert(call.m_endpoint);
            if (silent.count(call.m_endpoint) == 0)
                cluster.m_time.after(Microseconds(2000), [&, call, replyTo] { replyTo(answerTo(call)); });
        };
        CHECK(cluster.runQuery("third").m_coverage == 1.0);
    }
}

TEST_CASE("a query is refused when it cannot be answered", "[query]")
{
    Cluster cluster(1, 2);
    VirtualDaemon& vm = *cluster.m_vms[0];
    unsigned calls = 0;
    vm.m_transport = [&](const EndpointCall&, const ReplyTo&) { ++calls; };
    QueryRequest request = Cluster::request("body");
    ResultCode expected = ResultCode::Ok;
    QueryAnswer result;
    SECTION("the service is unknown")
    {
        request.m_service = ServiceName("none");
        expected = ResultCode::UnknownService;
    }
    SECTION("the VM holds no lease")
    {
        vm.m_leaseValid = false;
        expected = ResultCode::NoLease;
    }
    SECTION("the request is quarantined")
    {
        const Fingerprint fingerprint = requestFingerprint(verses, "query", "body");
        cluster.m_state.m_quarantine[fingerprint].m_fingerprint = fingerprint;
        expected = ResultCode::Quarantined;
    }
    SECTION("no snapshot reaches the coverage floor")
    {
        request.m_coverageFloor = 0.9;
        cluster.m_state.m_endpoints.erase(EndpointId("e0"));
        cluster.m_state.m_endpoints.erase(EndpointId("e1"));
        expected = ResultCode::CoverageUnattainable;
    }
    SECTION("the service has no endpoint")
    {
        cluster.m_state.m_endpoints.clear();
        expected = ResultCode::NoEndpoint;
    }
    SECTION("the deadline is shorter than any answer takes")
    {
        request.m_deadline = Milliseconds(0);
        expected = ResultCode::DeadlineTooShort;
    }
    SECTION("the coverage floor is outside 0 to 1")
    {
        request.m_coverageFloor = 1.5;
        expected = ResultCode::InvalidField;
    }
    INFO("a refused query sends no call and gives the result code of its cause");
    vm.apply(std::make_shared<PublishedState>(cluster.m_state));
    vm.start(request, [&](const QueryExecution&, const QueryAnswer& answer) { result = answer; });
    if (expected != ResultCode::Ok) {
        CHECK(resultCodeName(result.m_code) == resultCodeName(expected));
        CHECK(calls == 0);
    } else {
        INFO("a request that an endpoint may be running is not reported as not run");
        while (cluster.m_time.runNext()) { }
        CHECK(resultCodeName(result.m_code) == "DeadlineExceeded");
        CHECK(calls > 0);
    }
}
