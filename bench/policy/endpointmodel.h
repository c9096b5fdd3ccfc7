#pragma once

#include "endpoint/endpointcall.h"
#include "virtualtime.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingo::bench {

using flamingo::testing::VirtualTime;
using ReplyTo = std::function<void(EndpointReply)>;

/** Settings shared by all endpoints of a scenario. */
struct EndpointSettings {
    double m_medianServiceTime = 5000; // µs
    double m_sigma = 0.4; // standard deviation of the logarithm of the service time
    double m_slowFraction = 0.0; // share of the requests whose service time is multiplied by m_slowFactor
    double m_slowFactor = 10.0;
    std::uint32_t m_slots = 2;
    std::size_t m_queue = 16; // most requests that wait for a slot; further ones are shed
    Milliseconds m_shedRetryAfter { 20 }; // retry-after of a shed request
    double m_shedFraction = 0.0; // share of the requests that are shed whatever the load
    bool m_reportsInverseLoad = false; // reports 1 minus the load
    std::size_t m_hits = 10; // hits in each answer
};

/** Model of one endpoint with slots and a queue. A silent endpoint accepts calls and never answers. */
class EndpointModel {
public:
    EndpointModel(
        VirtualTime& time, const EndpointSettings& settings, std::mt19937_64& random, Microseconds oneWayDelay)
        : m_time(time)
        , m_settings(settings)
        , m_random(random)
        , m_oneWayDelay(oneWayDelay)
    {
    }

    void call(const EndpointCall& call, ReplyTo replyTo)
    {
        ++m_calls;
        auto job = std::make_shared<Job>();
        job->m_call = call;
        job->m_replyTo = std::move(replyTo);
        m_jobs[{ call.m_request, call.m_attempt }] = job;
        m_time.after(m_oneWayDelay, [this, job] { arrive(job); });
        m_time.at(call.m_deadline, [this, job] {
            if (job->m_released)
                return;
            EndpointReply reply;
            reply.m_outcome = CallOutcome::TimedOut;
            const ReplyTo replyTo = job->m_replyTo;
            release(job);
            replyTo(reply);
        });
    }

    void cancel(const RequestId& request, AttemptNumber attempt)
    {
        const auto job = m_jobs.find({ request, attempt });
        if (job != m_jobs.end())
            m_time.after(m_oneWayDelay, [this, job = job->second] { release(job); });
    }

    bool m_silent = false;
    std::uint64_t m_calls = 0;
    std::uint64_t m_served = 0;

private:
    struct Job {
        EndpointCall m_call;
        ReplyTo m_replyTo;
        bool m_running = false;
        bool m_released = false;
    };
    using JobPointer = std::shared_ptr<Job>;

    void arrive(const JobPointer& job)
    {
        if (job->m_released || m_silent)
            return;
        const bool injectedShed = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.m_shedFraction;
        if (injectedShed || (m_busySlots >= m_settings.m_slots && m_queue.size() >= m_settings.m_queue)) {
            EndpointReply reply = makeReply(*job);
            reply.m_status = 503;
            reply.m_notRun = true;
            reply.m_retryAfter = m_settings.m_shedRetryAfter;
            return finish(job, std::move(reply));
        }
        if (m_busySlots < m_settings.m_slots)
            run(job);
        else
            m_queue.push_back(job);
    }

    void run(const JobPointer& job)
    {
        ++m_busySlots;
        job->m_running = true;
        double serviceTime = m_settings.m_medianServiceTime
            * std::exp(std::normal_distribution<double>(0, m_settings.m_sigma)(m_random));
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.m_slowFraction)
            serviceTime *= m_settings.m_slowFactor;
        m_time.after(Microseconds(static_cast<std::int64_t>(serviceTime)), [this, job] {
            if (job->m_released)
                return;
            ++m_served;
            EndpointReply reply = makeReply(*job);
            reply.m_status = 200;
            reply.m_body = "[";
            for (std::size_t i = 0; i < m_settings.m_hits; ++i)
                reply.m_body += (i > 0 ? R"(,{"score":)" : R"({"score":)") + std::to_string(i) + R"(,"key":"key-)"
                    + std::to_string(i) + R"(","data":null})";
            reply.m_body += "]";
            finish(job, std::move(reply));
        });
    }

    EndpointReply makeReply(const Job& job) const
    {
        EndpointReply reply;
        reply.m_outcome = CallOutcome::Answered;
        reply.m_request = job.m_call.m_request;
        reply.m_attempt = job.m_call.m_attempt;
        reply.m_snapshot = job.m_call.m_snapshot;
        reply.m_layout = job.m_call.m_layout;
        reply.m_shard = job.m_call.m_shard;
        const double load = double(m_busySlots) / m_settings.m_slots;
        reply.m_load = m_settings.m_reportsInverseLoad ? 1.0 - load : load;
        return reply;
    }

    void finish(const JobPointer& job, EndpointReply reply)
    {
        m_time.after(m_oneWayDelay, [replyTo = job->m_replyTo, reply = std::move(reply)] { replyTo(reply); });
        release(job);
    }

    // Releases the slot or the place in the queue of a job that was answered, was cancelled or passed its deadline.
    void release(const JobPointer& job)
    {
        if (std::exchange(job->m_released, true))
            return;
        m_jobs.erase({ job->m_call.m_request, job->m_call.m_attempt });
        if (!job->m_running) {
            m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), job), m_queue.end());
            return;
        }
        --m_busySlots;
        if (!m_queue.empty()) {
            const JobPointer next = m_queue.front();
            m_queue.pop_front();
            run(next);
        }
    }

    VirtualTime& m_time;
    const EndpointSettings& m_settings;
    std::mt19937_64& m_random;
    Microseconds m_oneWayDelay;
    std::uint32_t m_busySlots = 0;
    std::deque<JobPointer> m_queue;
    std::map<std::pair<RequestId, AttemptNumber>, JobPointer> m_jobs;
};

} // namespace flamingo::bench
