// Runs the queries of one daemon against modelled endpoints in virtual time. Prints latency, coverage and extra load
// of the routing policy and of a naive baseline with the same seed as CSV.
//
// Usage: policybench [queries] [seed] [part of the scenario's name] [setting=value...]
//        policybench goals [queries] [seed]
// The second form compares the figures with the goals and exits with status 1 if one is missed.
//
// Settings: beyond (calls beyond the slots of an endpoint), quantile (hedge quantile), burst (capacity of the
// extra-load budget), spill (factor between data centres) and races (lost races that eject an endpoint).

#include "endpointmodel.h"
#include "naivequery.h"
#include "routing/admission.h"
#include "virtualdaemon.h"

#include <cstdio>
#include <cstdlib>

using namespace flamingo;
using namespace flamingo::bench;
using flamingo::testing::NaiveQuery;
using flamingo::testing::VirtualDaemon;

namespace {

const ServiceName verses("verses");

struct Scenario {
    std::string m_name;
    EndpointSettings m_endpoints;
    unsigned m_shards = 20;
    unsigned m_replicas = 2;
    unsigned m_silent = 0; // number of shards with one silent replica
    bool m_omitsSilent = false; // silent replicas are missing from the published state
    double m_load = 0.4; // arrival rate as a share of the capacity
    bool m_canary = false;
    unsigned m_distinctBodies = 1000; // bodies that queries choose from
    double m_coverageFloor = 1.0;
    Milliseconds m_patience { 20 };
    bool m_admission = false;
};

struct Result {
    std::vector<double> m_latencies; // ms, of answered queries
    std::vector<double> m_coverage;
    std::uint64_t m_refused = 0;
    std::uint64_t m_fullCoverage = 0; // answers with full coverage
    double m_seconds = 0; // from the first arrival to the last answer
    std::uint64_t m_refusedAfterSend = 0; // refused although an endpoint had been called
};

// Returns the queries per second at which all slots are busy.
double capacityPerSecond(const Scenario& scenario)
{
    const EndpointSettings& endpoints = scenario.m_endpoints;
    const double mean = endpoints.m_medianServiceTime * std::exp(endpoints.m_sigma * endpoints.m_sigma / 2)
        * (1 + endpoints.m_slowFraction * (endpoints.m_slowFactor - 1));
    return scenario.m_replicas * endpoints.m_slots * 1e6 / mean;
}

PublishedState makeState(const Scenario& scenario)
{
    PublishedState state;
    state.m_revision = Revision(1);
    state.m_vms[VmId("vm1")].m_id = VmId("vm1");
    ServiceDefinition& service = state.m_services[verses];
    service.m_name = verses;
    service.m_canary = scenario.m_canary;
    service.m_coverageFloor = scenario.m_coverageFloor;
    service.m_patience = scenario.m_patience;
    service.m_slotsPerEndpoint = scenario.m_endpoints.m_slots;
    SnapshotLayout layout { { verses, SnapshotVersion(1), LayoutId(1) }, {} };
    layout.m_shardWeights.assign(scenario.m_shards, 1);
    state.m_layouts[layout.m_key] = layout;
    for (unsigned i = 0; i < scenario.m_shards * scenario.m_replicas; ++i) {
        EndpointRecord record;
        record.m_id = EndpointId("e" + std::to_string(i));
        record.m_service = verses;
        if (scenario.m_omitsSilent && i % scenario.m_replicas == 0 && i / scenario.m_replicas < scenario.m_silent)
            continue;
        // The replicas of a shard are in different data centres, of which there are three.
        const unsigned shard = i / scenario.m_replicas;
        record.m_dataCentre = DataCentreName(std::string(1, char('a' + (shard + i % scenario.m_replicas) % 3)));
        record.m_holdings = { { SnapshotVersion(1), LayoutId(1), ShardIndex(shard) } };
        record.m_slots = scenario.m_endpoints.m_slots;
        record.m_connections = 60;
        state.m_endpoints[record.m_id] = record;
    }
    return state;
}

/** One simulated run of a scenario, with its arrivals, its endpoints and the daemon or the baseline. */
class Run {
public:
    Run(const Scenario& scenario, std::uint64_t seed, std::uint64_t queries)
        : m_scenario(scenario)
        , m_queries(queries)
        , m_arrivalRandom(seed)
        , m_serviceTimeRandom(seed + 1)
        , m_replicaRandom(seed + 2)
        , m_state(makeState(scenario))
        , m_admission(makeAdmission(AdmissionSettings()))
    {
        for (const auto& [id, record] : m_state.m_endpoints) {
            // The round trip takes 0.2 ms within a data centre and 0.7 ms between two.
            const Microseconds oneWayDelay(record.m_dataCentre == DataCentreName("a") ? 100 : 350);
            auto model
                = std::make_unique<EndpointModel>(m_time, m_scenario.m_endpoints, m_serviceTimeRandom, oneWayDelay);
            const std::uint32_t shard = record.m_holdings.front().m_shard.value();
            const bool first = id == EndpointId("e" + std::to_string(shard * scenario.m_replicas));
            model->m_silent = first && shard < scenario.m_silent;
            m_endpoints.emplace(id, std::move(model));
        }
    }

    Result runPolicy(const std::function<void(VirtualDaemon&)>& configure)
    {
        RoutingSettings settings;
        settings.m_vm = VmId("vm1");
        settings.m_dataCentre = DataCentreName("a");
        VirtualDaemon daemon(m_time, settings, 7);
        configure(daemon);
        daemon.m_transport = [this](const EndpointCall& call, ReplyTo replyTo) { transport(call, std::move(replyTo)); };
        daemon.m_cancel = [this](const RequestId& request, AttemptNumber attempt) {
            const auto called = m_calledEndpoint.find({ request, attempt });
            if (called != m_calledEndpoint.end())
                called->second->cancel(request, attempt);
        };
        daemon.apply(std::make_shared<PublishedState>(m_state));
        runArrivals([&](const QueryRequest& request) { startPolicy(daemon, request); });
        return finish();
    }

    Result runBaseline()
    {
        runArrivals([this](const QueryRequest& request) {
            const MonotonicTime started = m_time.now();
            auto query = std::make_shared<NaiveQuery>(
                m_time, request, [this, started](const QueryAnswer& answer) { recordAnswer(answer, started); });
            query->start(
                m_state, [this](const EndpointCall& call, ReplyTo replyTo) { transport(call, std::move(replyTo)); },
                m_replicaRandom);
        });
        return finish();
    }

    std::uint64_t calls() const
    {
        std::uint64_t sum = 0;
        for (const auto& [id, endpoint] : m_endpoints)
            sum += endpoint->m_calls;
        return sum;
    }

private:
    void transport(const EndpointCall& call, ReplyTo replyTo)
    {
        EndpointModel& endpoint = *m_endpoints.at(call.m_endpoint);
        m_calledEndpoint[{ call.m_request, call.m_attempt }] = &endpoint;
        endpoint.call(call,
            [this, key = std::pair(call.m_request, call.m_attempt), replyTo = std::move(replyTo)](EndpointReply reply) {
                m_calledEndpoint.erase(key);
                replyTo(std::move(reply));
            });
    }

    void startPolicy(VirtualDaemon& daemon, const QueryRequest& request)
    {
        const MonotonicTime started = m_time.now();
        std::optional<CallerClass> admittedClass;
        Reason reason;
        if (m_scenario.m_admission) {
            admittedClass = admitExecution(m_admission, request.m_callerClass, started, reason);
            if (!admittedClass) {
                ++m_result.m_refused;
                return;
            }
        }
        daemon.start(
            request, [this, started, admittedClass](const QueryExecution& execution, const QueryAnswer& answer) {
                recordAnswer(answer, started);
                const auto elapsed = std::chrono::duration_cast<Microseconds>(m_time.now() - started);
                if (admittedClass)
                    endExecution(m_admission, *admittedClass, execution.m_longestWait, elapsed, m_time.now());
            });
    }

    void runArrivals(const std::function<void(const QueryRequest&)>& start)
    {
        m_startedAt = m_time.now();
        const double rate = capacityPerSecond(m_scenario) * m_scenario.m_load;
        double at = 0;
        for (std::uint64_t i = 0; i < m_queries; ++i) {
            at += std::exponential_distribution<double>(rate)(m_arrivalRandom);
            QueryRequest request;
            request.m_id = RequestId("q" + std::to_string(i));
            request.m_service = verses;
            request.m_body = "body" + std::to_string(m_arrivalRandom() % m_scenario.m_distinctBodies);
            m_time.at(
                m_startedAt + Microseconds(static_cast<std::int64_t>(at * 1e6)), [start, request] { start(request); });
        }
        while (m_time.runNext()) { }
    }

    void recordAnswer(const QueryAnswer& answer, MonotonicTime started)
    {
        if (resultClass(answer.m_code) == ResultClass::NotRun) {
            ++m_result.m_refused;
            m_result.m_refusedAfterSend += answer.m_endpointRequests > 0 ? 1 : 0;
            return;
        }
        m_lastAnswerAt = m_time.now();
        m_result.m_latencies.push_back(std::chrono::duration<double, std::milli>(m_time.now() - started).count());
        m_result.m_coverage.push_back(answer.m_coverage);
        m_result.m_fullCoverage += answer.m_coverage >= 1.0 ? 1 : 0;
    }

    Result finish()
    {
        m_result.m_seconds = std::chrono::duration<double>(m_lastAnswerAt - m_startedAt).count();
        return m_result;
    }

    Scenario m_scenario;
    std::uint64_t m_queries;
    std::mt19937_64 m_arrivalRandom;
    std::mt19937_64 m_serviceTimeRandom;
    std::mt19937_64 m_replicaRandom;
    PublishedState m_state;
    VirtualTime m_time;
    Admission m_admission;
    std::map<EndpointId, std::unique_ptr<EndpointModel>> m_endpoints;
    std::map<std::pair<RequestId, AttemptNumber>, EndpointModel*> m_calledEndpoint;
    MonotonicTime m_startedAt {};
    MonotonicTime m_lastAnswerAt {};
    Result m_result;
};

double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0.0;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * double(values.size())));
    const auto position = values.begin() + std::ptrdiff_t(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

void print(const Scenario& scenario, const char* variant, Result result, std::uint64_t calls)
{
    const std::size_t answered = result.m_latencies.size();
    double coverageSum = 0;
    for (const double coverage : result.m_coverage)
        coverageSum += coverage;
    // Without extra load there is one endpoint request for each shard of each answered query.
    const double minimumCalls = double(answered) * scenario.m_shards;
    std::printf("%s,%s,%zu,%.1f,%.1f,%.1f,%.1f,%.5f,%.4f,%.4f,%.2f,%llu,%llu,%.0f\n", scenario.m_name.c_str(), variant,
        answered, quantile(result.m_latencies, 0.5), quantile(result.m_latencies, 0.95),
        quantile(result.m_latencies, 0.99), quantile(result.m_latencies, 0.999), coverageSum / double(answered),
        quantile(result.m_coverage, 0.01), double(result.m_fullCoverage) / double(answered),
        100 * (double(calls) / minimumCalls - 1), static_cast<unsigned long long>(result.m_refused),
        static_cast<unsigned long long>(result.m_refusedAfterSend), double(result.m_fullCoverage) / result.m_seconds);
    std::fflush(stdout);
}

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> all;
    const auto add = [&](const std::string& name, const std::function<void(Scenario&)>& change) {
        Scenario scenario;
        scenario.m_name = name;
        change(scenario);
        all.push_back(scenario);
    };
    const auto slow = [](Scenario& s) { s.m_endpoints.m_slowFraction = 0.01; };
    add("healthy", [](Scenario&) {});
    add("slow", slow);
    add("slow load 0.2", [&](Scenario& s) { slow(s), s.m_load = 0.2; });
    add("slow load 0.6", [&](Scenario& s) { slow(s), s.m_load = 0.6; });
    add("slow load 0.8", [&](Scenario& s) { slow(s), s.m_load = 0.8; });
    add("slow floor 0.9", [&](Scenario& s) { slow(s), s.m_coverageFloor = 0.9; });
    add("slow canary repeated bodies", [&](Scenario& s) { slow(s), s.m_canary = true; });
    add("slow canary new bodies", [&](Scenario& s) { slow(s), s.m_canary = true, s.m_distinctBodies = 100000000; });
    add("slow 100 shards", [&](Scenario& s) { slow(s), s.m_shards = 100; });
    add("slow 400 shards", [&](Scenario& s) { slow(s), s.m_shards = 400; });
    add("slow lying", [&](Scenario& s) { slow(s), s.m_endpoints.m_reportsInverseLoad = true; });
    add("shedding 1%", [](Scenario& s) { s.m_endpoints.m_shedFraction = 0.01; });
    // One replica of each of two shards is silent. "removed" gives the bound for a daemon that has to detect the loss:
    // there the published state lacks these replicas from the start.
    for (const double load : { 0.1, 0.2, 0.3, 0.4 }) {
        const std::string at = " load " + std::to_string(load).substr(0, 3);
        add("all replicas" + at, [&](Scenario& s) { s.m_load = load; });
        add("silent replicas" + at, [&](Scenario& s) { s.m_silent = 2, s.m_load = load; });
        add("removed replicas" + at, [&](Scenario& s) { s.m_silent = 2, s.m_load = load, s.m_omitsSilent = true; });
    }
    add("at capacity", [](Scenario& s) { s.m_load = 1.0, s.m_admission = true; });
    add("twice the capacity", [](Scenario& s) { s.m_load = 2.0, s.m_admission = true; });
    return all;
}

// Applies an argument of the form setting=value; returns false for an unknown setting.
bool setOption(RoutingSettings& settings, const std::string& option)
{
    const std::size_t equals = option.find('=');
    const std::string name = option.substr(0, equals);
    const double value = equals == std::string::npos ? 0 : std::strtod(option.c_str() + equals + 1, nullptr);
    if (name == "beyond")
        settings.m_callsBeyondSlots = static_cast<std::uint32_t>(value);
    else if (name == "quantile")
        settings.m_hedgeQuantile = value;
    else if (name == "burst")
        settings.m_budgetBurst = value;
    else if (name == "spill")
        settings.m_spillFactor = value;
    else if (name == "races")
        settings.m_lostRacesToEject = static_cast<std::uint32_t>(value);
    else
        return false;
    return true;
}

struct Figures {
    double m_p99 = 0;
    double m_coverage = 0;
    double m_extraLoad = 0;
    double m_fullPerSecond = 0;
    std::uint64_t m_refusedAfterSend = 0;
};

Figures figuresOf(Run& run, Result result, const Scenario& scenario)
{
    Figures figures;
    figures.m_p99 = quantile(result.m_latencies, 0.99);
    for (const double coverage : result.m_coverage)
        figures.m_coverage += coverage / double(result.m_coverage.size());
    figures.m_extraLoad = double(run.calls()) / (double(result.m_latencies.size()) * scenario.m_shards) - 1;
    figures.m_fullPerSecond = double(result.m_fullCoverage) / result.m_seconds;
    figures.m_refusedAfterSend = result.m_refusedAfterSend;
    return figures;
}

Figures measure(const std::string& name, bool baseline, std::uint64_t queries, std::uint64_t seed)
{
    for (const Scenario& scenario : scenarios()) {
        if (scenario.m_name == name) {
            Run run(scenario, seed, queries);
            const Result result = baseline ? run.runBaseline() : run.runPolicy([](VirtualDaemon&) {});
            return figuresOf(run, result, scenario);
        }
    }
    std::fprintf(stderr, "no scenario is named \"%s\"\n", name.c_str());
    std::exit(2);
}

int checkGoals(std::uint64_t queries, std::uint64_t seed)
{
    int missed = 0;
    const auto check = [&](const char* goal, double value, double atMost) {
        const bool met = value <= atMost;
        missed += met ? 0 : 1;
        std::printf("%s,%.4f,at most %.4f,%s\n", goal, value, atMost, met ? "met" : "missed");
    };
    for (const char* name : { "slow", "slow load 0.6", "slow canary new bodies" }) {
        const Figures baseline = measure(name, true, queries, seed);
        const Figures policy = measure(name, false, queries, seed);
        std::printf("# %s\n", name);
        check("p99 relative to the baseline", policy.m_p99 / baseline.m_p99, 0.5);
        check("extra load", policy.m_extraLoad, 0.05);
        check("coverage below the baseline", baseline.m_coverage - policy.m_coverage, 1e-9);
    }
    const Figures healthy = measure("all replicas load 0.2", false, queries, seed);
    const Figures silent = measure("silent replicas load 0.2", false, queries, seed);
    check("p99 with two silent endpoints relative to a healthy run", silent.m_p99 / healthy.m_p99, 1.5);
    const Figures capacity = measure("at capacity", false, queries, seed);
    const Figures twice = measure("twice the capacity", false, queries, seed);
    check("work lost at twice the capacity", 1 - twice.m_fullPerSecond / capacity.m_fullPerSecond, 0.2);
    check("refused after an endpoint was asked", double(twice.m_refusedAfterSend), 0);
    return missed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1 && std::string(argv[1]) == "goals")
        return checkGoals(
            argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 5000, argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1);
    const std::uint64_t queries = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20000;
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::printf("scenario,variant,answered,p50_ms,p95_ms,p99_ms,p999_ms,coverage_mean,coverage_p01,full_share,"
                "extra_load_percent,refused,refused_after_send,full_answers_per_s\n");
    for (const Scenario& scenario : scenarios()) {
        if (argc > 3 && scenario.m_name.find(argv[3]) == std::string::npos)
            continue;
        Run baseline(scenario, seed, queries);
        const Result baselineResult = baseline.runBaseline();
        print(scenario, "baseline", baselineResult, baseline.calls());
        Run policy(scenario, seed, queries);
        const Result result = policy.runPolicy([&](VirtualDaemon& daemon) {
            for (int i = 4; i < argc; ++i) {
                if (!setOption(daemon.m_routing.m_settings, argv[i]))
                    std::fprintf(stderr, "unknown setting \"%s\"; known are beyond, quantile, burst, spill and races\n",
                        argv[i]);
            }
        });
        print(scenario, "policy", result, policy.calls());
    }
    return 0;
}
