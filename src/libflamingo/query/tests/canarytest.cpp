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

EndpointReply lost()
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

/** Several VMs with one set of endpoints and a control VM that counts deaths. */
struct Site {
    VirtualTime m_time;
    PublishedState m_state;
    std::vector<std::unique_ptr<VirtualDaemon>> m_vms;
    std::set<EndpointId> m_dead;
    std::set<EndpointId> m_touched; // by the crashing request
    std::map<Fingerprint, std::set<EndpointId>> m_deaths;
    std::function<Microseconds()> m_delay = [] { return Microseconds(1000); };

    Site(unsigned vms, unsigned shards)
        : m_state(stateOf(shards))
    {
        for (unsigned i = 0; i < vms; ++i) {
            RoutingSettings settings;
            settings.m_dataCentre = DataCentreName(i % 2 == 0 ? "a" : "b");
            settings.m_vm = VmId("vm" + std::to_string(i));
            m_state.m_vms[settings.m_vm].m_id = settings.m_vm;
            m_vms.push_back(std::make_unique<VirtualDaemon>(m_time, settings, i));
            VirtualDaemon& vm = *m_vms.back();
            vm.m_transport = [this](const EndpointCall& call, ReplyTo replyTo) { run(call, std::move(replyTo)); };
            vm.m_report = [this](const ReportDeath& death, std::function<void(bool)> decided) {
                m_time.after(m_delay(), [this, death, decided] { take(death, decided); });
            };
        }
        for (auto& vm : m_vms)
            vm->apply(std::make_shared<PublishedState>(m_state));
    }

    void run(const EndpointCall& call, ReplyTo replyTo)
    {
        if (m_dead.count(call.m_endpoint) > 0) {
            m_time.after(Microseconds(300), [replyTo] { replyTo(EndpointReply()); });
            return;
        }
        const bool crashes = call.m_body == "crash";
        if (crashes)
            m_touched.insert(call.m_endpoint);
        m_time.after(m_delay(), [this, call, replyTo, crashes] {
            if (crashes)
                m_dead.insert(call.m_endpoint);
            replyTo(crashes ? lost() : answerTo(call));
        });
    }

    void take(const ReportDeath& death, const std::function<void(bool)>& decided)
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

    // Sends the request through the VM, again and again while it fails.
    void send(std::size_t vm, const std::string& body, unsigned resends)
    {
        m_vms[vm]->start(request(body), [=](const QueryExecution&, const QueryAnswer& answer) {
            RC_ASSERT(answer.m_code != ResultCode::Ok);
            if (resends > 0)
                m_time.after(m_delay(), [=] { send((vm + resends) % m_vms.size(), body, resends - 1); });
        });
    }

    QueryAnswer ask(const std::string& body)
    {
        QueryAnswer result;
        m_vms[0]->start(request(body), [&](const QueryExecution&, const QueryAnswer& answer) { result = answer; });
        while (m_time.runNext()) { }
        return result;
    }
};

} // namespace

TEST_CASE("a request that crashes endpoints", "[query]")
{
    rc::prop("guards against more than two dead endpoints, sent through three VMs and resent", [] {
        Site site(3, 8);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const auto slowest = *rc::gen::element(2000, 20000, 120000);
        site.m_delay = [&random, slowest] { return Microseconds(random() % slowest); };
        for (std::size_t vm = 0; vm < 3; ++vm)
            site.m_time.after(site.m_delay(), [&site, vm] { site.send(vm, "crash", 6); });
        while (site.m_time.runNext()) { }
        RC_ASSERT(site.m_touched.size() <= 2U);
        RC_ASSERT(site.m_state.m_quarantine.size() == 1U);
    });

    SECTION("guards against the quarantine of a request that ran while another one crashed its endpoint")
    {
        Site site(1, 1);
        auto& vm = *site.m_vms[0];
        std::vector<std::pair<MonotonicTime, EndpointId>> sent;
        vm.m_transport = [&](const EndpointCall& call, ReplyTo replyTo) {
            const bool first = sent.empty() || sent.front().second == call.m_endpoint;
            sent.emplace_back(site.m_time.now(), call.m_endpoint);
            // The first endpoint dies under both requests; the second one lives.
            site.m_time.after(Microseconds(5000), [=] { replyTo(first ? lost() : answerTo(call)); });
        };
        // Takes two requests whose first rank is the same endpoint.
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
            vm.start(Site::request(body), [&](const QueryExecution&, const QueryAnswer& answer) {
                answered += answer.m_code == ResultCode::Ok ? 1 : 0;
            });
        while (site.m_time.runNext()) { }
        CHECK(answered == 2);
        REQUIRE(sent.size() == 4);
        CHECK(sent[0].second == sent[1].second);
        CHECK(sent[2].second == sent[3].second);
        CHECK(sent[3].first - sent[2].first >= Milliseconds(5));
    }
}

TEST_CASE("a new request is sent to one endpoint first", "[query]")
{
    Site site(1, 8);
    std::size_t calls = 0;
    std::size_t callsAtFirstReply = 0;
    site.m_vms[0]->m_transport = [&](const EndpointCall& call, ReplyTo replyTo) {
        ++calls;
        site.m_time.after(Microseconds(2000), [&, call, replyTo] {
            callsAtFirstReply = callsAtFirstReply == 0 ? calls : callsAtFirstReply;
            replyTo(answerTo(call));
        });
    };
    const QueryAnswer answer = site.ask("new");
    CHECK(answer.m_code == ResultCode::Ok);
    CHECK(answer.m_coverage == 1.0);
    CHECK(callsAtFirstReply == 1);

    SECTION("guards against extra load: the canary's answer counts as its shard's answer")
    {
        CHECK(calls == 8);
        CHECK(answer.m_endpointRequests == 8);
    }
    SECTION("guards against a slow second run: a request that succeeded goes to all shards at once")
    {
        callsAtFirstReply = 0;
        calls = 0;
        site.ask("new");
        CHECK(callsAtFirstReply == 8);
    }
    SECTION("guards against canaries where the service has turned them off")
    {
        site.m_state.m_services[verses].m_canary = false;
        site.m_vms[0]->apply(std::make_shared<PublishedState>(site.m_state));
        callsAtFirstReply = 0;
        calls = 0;
        site.ask("other");
        CHECK(callsAtFirstReply == 8);
    }
    SECTION("guards against a new request that waits for a silent first endpoint")
    {
        std::set<EndpointId> silent;
        site.m_vms[0]->m_transport = [&](const EndpointCall& call, ReplyTo replyTo) {
            if (silent.empty())
                silent.insert(call.m_endpoint);
            if (silent.count(call.m_endpoint) == 0)
                site.m_time.after(Microseconds(2000), [&, call, replyTo] { replyTo(answerTo(call)); });
        };
        CHECK(site.ask("third").m_coverage == 1.0);
    }
}

TEST_CASE("a query is refused when it cannot be answered", "[query]")
{
    Site site(1, 2);
    VirtualDaemon& vm = *site.m_vms[0];
    unsigned calls = 0;
    vm.m_transport = [&](const EndpointCall&, const ReplyTo&) { ++calls; };
    QueryRequest request = Site::request("body");
    ResultCode expected = ResultCode::Ok;
    QueryAnswer result;
    SECTION("unknown service")
    {
        request.m_service = ServiceName("none");
        expected = ResultCode::UnknownService;
    }
    SECTION("no lease")
    {
        vm.m_leaseValid = false;
        expected = ResultCode::NoLease;
    }
    SECTION("quarantined")
    {
        const Fingerprint fingerprint = requestFingerprint(verses, "query", "body");
        site.m_state.m_quarantine[fingerprint].m_fingerprint = fingerprint;
        expected = ResultCode::Quarantined;
    }
    SECTION("coverage out of reach")
    {
        request.m_coverageFloor = 0.9;
        site.m_state.m_endpoints.erase(EndpointId("e0"));
        site.m_state.m_endpoints.erase(EndpointId("e1"));
        expected = ResultCode::CoverageUnattainable;
    }
    SECTION("no endpoint")
    {
        site.m_state.m_endpoints.clear();
        expected = ResultCode::NoEndpoint;
    }
    SECTION("a deadline that no answer can meet")
    {
        request.m_deadline = Milliseconds(0);
        expected = ResultCode::DeadlineTooShort;
    }
    SECTION("a floor outside 0 to 1")
    {
        request.m_coverageFloor = 1.5;
        expected = ResultCode::InvalidField;
    }
    INFO("guards against calls sent for a query that is refused, and against a wrong code");
    vm.apply(std::make_shared<PublishedState>(site.m_state));
    vm.start(request, [&](const QueryExecution&, const QueryAnswer& answer) { result = answer; });
    if (expected != ResultCode::Ok) {
        CHECK(resultCodeName(result.m_code) == resultCodeName(expected));
        CHECK(calls == 0);
    } else {
        INFO("guards against \"not run\" said of a request that an endpoint may be running");
        while (site.m_time.runNext()) { }
        CHECK(resultCodeName(result.m_code) == "DeadlineExceeded");
        CHECK(calls > 0);
    }
}
