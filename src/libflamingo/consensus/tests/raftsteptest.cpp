#include "consensus/raftstep.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

const MemberId kA("a#1");
const MemberId kB("b#1");
const MemberId kC("c#1");

/** Member a of the cluster a, b and c, in term 3, with a configuration entry and an application entry of term 2. */
struct SingleMember {
    MonotonicTime m_now { std::chrono::seconds(1000) };
    RaftState m_state;

    SingleMember()
    {
        Configuration configuration;
        for (const MemberId& id : { kA, kB, kC })
            configuration.m_members.push_back({ id, VmId(id.value().substr(0, 1)), id.value(), true });
        std::vector<LogEntryPtr> entries;
        entries.push_back(std::make_shared<const LogEntry>(LogEntry { LogIndex(1), Term(1), configuration }));
        entries.push_back(std::make_shared<const LogEntry>(LogEntry { LogIndex(2), Term(2), std::string("old") }));
        m_state = startState({}, kA, Term(3), MemberId(), makeLog({}, entries), 1, m_now);
    }

    Effects receive(const MemberId& from, Term term, RaftBody body)
    {
        return step(m_state, MessageEvent { { from, "", kA, term, std::move(body) } }, m_now);
    }
    void becomeLeader()
    {
        m_now = m_state.m_electionDeadline;
        step(m_state, TickEvent {}, m_now);
        REQUIRE(m_state.m_role == Role::PreCandidate);
        receive(kB, Term(4), VoteAnswer { true, true, false });
        REQUIRE(m_state.m_role == Role::Candidate);
        receive(kB, Term(4), VoteAnswer { false, true, false });
        REQUIRE(m_state.m_role == Role::Leader);
    }
    void acknowledge(const MemberId& from, std::uint64_t index, std::uint64_t round)
    {
        receive(from, Term(4), AppendAnswer { true, LogIndex(index), Term(), round });
    }
};

} // namespace

// Guards against a vote that is lost in a crash, after which the member votes for another candidate in the same term.
TEST_CASE("A vote is made durable in the step that grants it")
{
    SingleMember a;
    const VoteRequest request { false, LogIndex(2), Term(2) };

    Effects effects = a.receive(kB, Term(3), request);
    REQUIRE(std::get<VoteAnswer>(effects.m_messages.at(0).m_body).m_granted);
    REQUIRE(effects.m_persistTermAndVote);
    REQUIRE(a.m_state.m_votedFor == kB);

    SECTION("the vote is granted again to the same candidate and refused to another one")
    {
        REQUIRE(std::get<VoteAnswer>(a.receive(kB, Term(3), request).m_messages.at(0).m_body).m_granted);
        REQUIRE_FALSE(std::get<VoteAnswer>(a.receive(kC, Term(3), request).m_messages.at(0).m_body).m_granted);
    }
    SECTION("a candidate with an older log does not get a vote")
    {
        const VoteRequest older { false, LogIndex(9), Term(1) };
        REQUIRE_FALSE(std::get<VoteAnswer>(a.receive(kC, Term(9), older).m_messages.at(0).m_body).m_granted);
        REQUIRE(a.m_state.m_term == Term(9));
    }
    SECTION("a message for an earlier incarnation of this VM changes nothing")
    {
        RaftMessage message { kB, "", MemberId("a#0"), Term(8), request };
        REQUIRE(step(a.m_state, MessageEvent { message }, a.m_now).m_messages.empty());
        REQUIRE(a.m_state.m_term == Term(3));
    }
}

// Guards against a leader that commits an entry of an earlier term once a majority has it. A member whose last entry
// has a later term could still become leader and replace such an entry.
TEST_CASE("Entries of an earlier term are committed only with an entry of the leader's term")
{
    SingleMember a;
    a.becomeLeader();
    a.acknowledge(kB, 2, 1);
    REQUIRE(a.m_state.m_commitIndex == LogIndex(0));
    REQUIRE_FALSE(isReadyToServe(a.m_state));
    const Effects effects = a.receive(kB, Term(4), AppendAnswer { true, LogIndex(3), Term(), 1 });
    REQUIRE(a.m_state.m_commitIndex == LogIndex(3));
    REQUIRE(effects.m_apply.size() == 3);
    REQUIRE(isReadyToServe(a.m_state));

    SECTION("an answer of an earlier term does not confirm a round")
    {
        const auto confirmed = a.m_state.m_confirmedRoundStart;
        a.m_now += Milliseconds(200);
        step(a.m_state, TickEvent {}, a.m_now);
        REQUIRE(a.m_state.m_round == 2);
        a.receive(kC, Term(3), AppendAnswer { true, LogIndex(3), Term(), 2 });
        REQUIRE(a.m_state.m_confirmedRoundStart == confirmed);
        a.acknowledge(kC, 3, 2);
        REQUIRE(a.m_state.m_confirmedRoundStart == a.m_now);
    }

    SECTION("a learner's acknowledgement does not count for the majority")
    {
        const MemberId learner("d#1");
        REQUIRE_FALSE(step(a.m_state, AddLearnerEvent { { learner, VmId("d"), "d", false } }, a.m_now).m_refusal);
        const LogIndex last = lastIndex(a.m_state.m_log);
        a.acknowledge(learner, last.value(), 1);
        REQUIRE(a.m_state.m_commitIndex < last); // the learner's acknowledgement does not count
        a.acknowledge(kB, last.value(), 1);
        REQUIRE(a.m_state.m_commitIndex == last);

        // Guards against a new voter without all committed entries: the loss of another voter could then lose entries.
        SECTION("the learner is not promoted before it has caught up")
        {
            const auto isPromoted = [&] { return isVoter(latestConfiguration(a.m_state.m_log), learner); };
            step(a.m_state, ProposalEvent { { "more" } }, a.m_now);
            a.acknowledge(kB, last.value() + 1, 1);
            step(a.m_state, TickEvent {}, a.m_now);
            REQUIRE(step(a.m_state, PromoteEvent { learner }, a.m_now).m_refusal->m_code == ResultCode::NotReady);
            REQUIRE_FALSE(isPromoted());
            a.acknowledge(learner, last.value() + 1, 1);
            step(a.m_state, TickEvent {}, a.m_now);
            REQUIRE(isPromoted());
        }
    }

    // Guards against transfers that restart forever because each new snapshot drops the entries after the previous one.
    SECTION("the entries after a snapshot that is being transferred are kept")
    {
        a.m_state.m_options.m_trailingEntries = 0;
        step(a.m_state, SnapshotTakenEvent { { LogIndex(3), Term(4), {}, 10, 0 } }, a.m_now);
        REQUIRE(a.m_state.m_log.m_baseIndex == LogIndex(3));
        a.receive(kC, Term(4), AppendAnswer { false, LogIndex(0), Term(), 1 });
        REQUIRE(a.m_state.m_progress.at(kC).m_snapshotTransfer);
        step(a.m_state, ProposalEvent { { "x", "y" } }, a.m_now);
        a.acknowledge(kB, 5, 1);
        step(a.m_state, SnapshotTakenEvent { { LogIndex(5), Term(4), {}, 10, 0 } }, a.m_now);
        REQUIRE(a.m_state.m_log.m_baseIndex == LogIndex(3));
        const Effects next = a.receive(kC, Term(4), SnapshotAnswer { LogIndex(3), true, 10, 1 });
        REQUIRE(std::get<AppendRequest>(next.m_messages.at(0).m_body).m_entries.size() == 2);
    }
}
