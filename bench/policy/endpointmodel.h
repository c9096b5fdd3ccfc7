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

/** What all endpoints of a scenario have in common. */
struct EndpointSettings {
    double m_medianService = 5000; // µs
    double m_sigma = 0.4; // of the lognormal service time
    double m_slowFraction = 0.0; // requests that take slowFactor times as long
    double m_slowFactor = 10.0;
    std::uint32_t m_slots = 2;
    std::size_t m_queue = 16; // requests that wait; further ones are shed
    Milliseconds m_shedRetry { 20 };
    double m_shedFraction = 0.0; // requests shed without need
    bool m_lies = false; // reports the opposite of its load
    std::size_t m_hits = 10; // in each answer
};

/** One endpoint with slots and a queue; silent ones accept calls and never answer. */
class EndpointModel {
public:
    EndpointModel(VirtualTime& time, const EndpointSettings& settings, std::mt19937_64& random, Microseconds distance)
        : m_time(time)
        , m_settings(settings)
        , m_random(random)
        , m_distance(distance)
    {
    }

    void call(const EndpointCall& call, ReplyTo replyTo)
    {
        ++m_calls;
        auto job = std::make_shared<Job>();
        job->m_call = call;
        job->m_replyTo = std::move(replyTo);
        m_jobs[{ call.m_request, call.m_attempt }] = job;
        m_time.after(m_distance, [this, job] { arrive(job); });
        m_time.at(call.m_deadline, [this, job] {
            if (job->m_over)
                return;
            EndpointReply reply;
            reply.m_outcome = CallOutcome::TimedOut;
            const ReplyTo replyTo = job->m_replyTo;
            drop(job);
            replyTo(reply);
        });
    }

    void cancel(const RequestId& request, AttemptNumber attempt)
    {
        const auto job = m_jobs.find({ request, attempt });
        if (job != m_jobs.end())
            m_time.after(m_distance, [this, job = job->second] { drop(job); });
    }

    bool m_silent = false;
    std::uint64_t m_calls = 0;
    std::uint64_t m_served = 0;

private:
    struct Job {
        EndpointCall m_call;
        ReplyTo m_replyTo;
        bool m_running = false;
        bool m_over = false;
    };
    using JobPointer = std::shared_ptr<Job>;

    void arrive(const JobPointer& job)
    {
        if (job->m_over || m_silent)
            return;
        const bool sheds = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.m_shedFraction;
        if (sheds || (m_busy >= m_settings.m_slots && m_queue.size() >= m_settings.m_queue)) {
            EndpointReply reply = answer(*job);
            reply.m_status = 503;
            reply.m_notRun = true;
            reply.m_retryAfter = m_settings.m_shedRetry;
            return finish(job, std::move(reply));
        }
        if (m_busy < m_settings.m_slots)
            run(job);
        else
            m_queue.push_back(job);
    }

    void run(const JobPointer& job)
    {
        ++m_busy;
        job->m_running = true;
        double service
            = m_settings.m_medianService * std::exp(std::normal_distribution<double>(0, m_settings.m_sigma)(m_random));
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.m_slowFraction)
            service *= m_settings.m_slowFactor;
        m_time.after(Microseconds(static_cast<std::int64_t>(service)), [this, job] {
            if (job->m_over)
                return;
            ++m_served;
            EndpointReply reply = answer(*job);
            reply.m_status = 200;
            reply.m_body = "[";
            for (std::size_t i = 0; i < m_settings.m_hits; ++i)
                reply.m_body += (i > 0 ? R"(,{"score":)" : R"({"score":)") + std::to_string(i) + R"(,"key":"key-)"
                    + std::to_string(i) + R"(","data":null})";
            reply.m_body += "]";
            finish(job, std::move(reply));
        });
    }

    EndpointReply answer(const Job& job) const
    {
        EndpointReply reply;
        reply.m_outcome = CallOutcome::Answered;
        reply.m_request = job.m_call.m_request;
        reply.m_attempt = job.m_call.m_attempt;
        reply.m_snapshot = job.m_call.m_snapshot;
        reply.m_layout = job.m_call.m_layout;
        reply.m_shard = job.m_call.m_shard;
        const double load = double(m_busy) / m_settings.m_slots;
        reply.m_load = m_settings.m_lies ? 1.0 - load : load;
        return reply;
    }

    void finish(const JobPointer& job, EndpointReply reply)
    {
        m_time.after(m_distance, [replyTo = job->m_replyTo, reply = std::move(reply)] { replyTo(reply); });
        drop(job);
    }

    // Frees what the job holds, also when it is cancelled or past its deadline.
    void drop(const JobPointer& job)
    {
        if (std::exchange(job->m_over, true))
            return;
        m_jobs.erase({ job->m_call.m_request, job->m_call.m_attempt });
        if (!job->m_running) {
            m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), job), m_queue.end());
            return;
        }
        --m_busy;
        if (!m_queue.empty()) {
            const JobPointer next = m_queue.front();
            m_queue.pop_front();
            run(next);
        }
    }

    VirtualTime& m_time;
    const EndpointSettings& m_settings;
    std::mt19937_64& m_random;
    Microseconds m_distance; // one way
    std::uint32_t m_busy = 0;
    std::deque<JobPointer> m_queue;
    std::map<std::pair<RequestId, AttemptNumber>, JobPointer> m_jobs;
};

} // namespace flamingo::bench
