/// @file Cells of the fault matrix for I1: guaranteed shapes can always be reclaimed.
#include "cell_base.h"

#include "hyssoppond/policy/scheduler_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <bit>
#include <map>
#include <optional>
#include <random>

namespace hyssoppond::faults {
namespace {

const absl::Time Start = absl::FromUnixSeconds(1'000'000);
constexpr std::size_t Workers = 11;
/// Maximum number of nodes of the brute-force search; the small fleets of the cells need far fewer.
constexpr std::size_t SearchLimit = 2'000'000;

/// Searches a packing of shapes onto counts of accelerators by trying every position. It shares no
/// code with the scheduler's own check.
class packing_search
{
public:
    packing_search(std::vector<std::uint32_t> available, std::vector<shape> shapes)
        : m_available(std::move(available))
        , m_shapes(std::move(shapes))
    {
        std::sort(m_shapes.begin(), m_shapes.end(), [](const shape &a, const shape &b) {
            return a.accelerators() > b.accelerators();
        });
    }

    /// True if all fit; nullopt if the search reached SearchLimit.
    std::optional<bool> fits()
    {
        const bool found = placeShape(0);
        if (!found && m_nodes > SearchLimit)
            return std::nullopt;
        return found;
    }

private:
    bool placeShape(std::size_t index)
    {
        if (index == m_shapes.size())
            return true;
        const shape &wanted = m_shapes[index];
        if (wanted.within == adjacency::Worker) {
            for (std::size_t worker = 0; worker < m_available.size(); ++worker) {
                if (placeMembers(index, wanted.members, worker, worker + 1))
                    return true;
            }
            return false;
        }
        // Racks of three workers, each rack a zone of its own.
        for (std::size_t first = 0; first < m_available.size(); first += 3) {
            if (placeMembers(index, wanted.members, first, std::min(first + 3, m_available.size())))
                return true;
        }
        return false;
    }

    bool placeMembers(std::size_t index, std::uint32_t left, std::size_t from, std::size_t to)
    {
        if (++m_nodes > SearchLimit)
            return false;
        if (left == 0)
            return placeShape(index + 1);
        for (std::size_t worker = from; worker < to; ++worker) {
            const std::uint32_t size = m_shapes[index].acceleratorsPerMember;
            if (m_available[worker] < size)
                continue;
            m_available[worker] -= size;
            const bool found = placeMembers(index, left - 1, worker, to);
            m_available[worker] += size;
            if (found)
                return true;
        }
        return false;
    }

    std::vector<std::uint32_t> m_available;
    std::vector<shape> m_shapes;
    std::size_t m_nodes = 0;
};

/// A site whose records are kept separately from the scheduler, as the journal keeps them.
class recorded_site
{
public:
    recorded_site(const cell_context &context)
        : m_random(context.seed)
        , m_policy(optionsFor(context))
    {
        for (std::size_t i = 0; i < Workers; ++i)
            expect(m_policy.addWorker(workerAt(i)));
        for (const char *name : {"a", "b", "c", "d"})
            expect(m_policy.setTeam({team_id(name), 1.0, 100'000, 200}));
        setContract("a", {3, 8, adjacency::Rack}, 1);
        setContract("b", {2, 8, adjacency::Rack}, 1);
        setContract("c", {1, 2, adjacency::Worker}, 4);
        setContract("d", {1, 1, adjacency::Worker}, 8);
    }

    static scheduler_options optionsFor(const cell_context &context)
    {
        scheduler_options options;
        options.guaranteeCheck = !context.mechanismOff;
        return options;
    }

    static worker workerAt(std::size_t index)
    {
        return {worker_id(absl::StrCat("w", index)),
                process_id(absl::StrCat("p", index)),
                rack_id(absl::StrCat("r", index / 3)),
                zone_id(absl::StrCat("z", index / 3)),
                8,
                64,
                std::uint64_t {256} << 30};
    }

    void setContract(const std::string &owner, shape guaranteed, std::uint32_t count)
    {
        const contract value {contract_id("g-" + owner), team_id(owner), guaranteed, count,
                              zone_id()};
        expect(m_policy.setContract(value));
        m_contracts[value.id] = value;
    }

    void submit(const std::string &owner, shape wanted, urgency level)
    {
        job_spec spec;
        spec.request = request_id(absl::StrCat("q", m_nextRequest++));
        spec.team = team_id(owner);
        spec.id = jobIdFor(spec.team, spec.request);
        spec.caller = caller_id(owner);
        spec.wanted = wanted;
        spec.level = level;
        spec.submittedAt = m_now;
        expect(m_policy.submit(spec));
        m_specs[spec.id] = spec;
        m_waiting[spec.id] = 1;
    }

    void setCondition(std::size_t index, worker_condition condition)
    {
        expect(m_policy.setWorkerCondition(workerAt(index).id, condition));
        if (condition == worker_condition::Usable)
            m_unusable.erase(workerAt(index).id);
        else
            m_unusable.insert({workerAt(index).id, condition});
        if (condition != worker_condition::Failed)
            return;
        endWhere([&](const placed_gang &gang) { return uses(gang, workerAt(index).id); },
                 attempt_outcome::Lost);
    }

    /// Ends one gang on the worker as completed.
    void completeOneGangOn(std::size_t index)
    {
        bool done = false;
        endWhere(
            [&](const placed_gang &gang) {
                const bool ends = !done && uses(gang, workerAt(index).id);
                done = done || ends;
                return ends;
            },
            attempt_outcome::Completed);
    }

    /// Ends some gangs at random as completed.
    void completeSomeGangs(double share)
    {
        endWhere([&](const placed_gang &) { return uniform() < share; },
                 attempt_outcome::Completed);
    }

    void cancelWaiting(double share)
    {
        std::vector<job_id> chosen;
        for (const auto &[id, attempt] : m_waiting) {
            if (uniform() < share)
                chosen.push_back(id);
        }
        for (const job_id &id : chosen) {
            expect(m_policy.cancel(id));
            m_waiting.erase(id);
        }
    }

    /// Accepts proposals until there is none; checks the packing around each placement.
    void scheduleUntilIdle()
    {
        m_now += absl::Seconds(10);
        for (int round = 0; round < 200; ++round) {
            const std::vector<decision> proposals = m_policy.decide(m_now);
            if (proposals.empty() || !m_violation.empty())
                return;
            for (const decision &proposal : proposals) {
                if (const auto *place = std::get_if<place_decision>(&proposal))
                    accept(*place);
                else
                    accept(std::get<preempt_decision>(proposal));
            }
            endWhere([](const placed_gang &gang) { return gang.stopping; },
                     attempt_outcome::Preempted);
        }
        fail("decisions do not come to an end");
    }

    /// Each team claims the whole guarantee of its contract at once; all of it must start.
    void claimAllGuarantees()
    {
        if (!guaranteesFit() || !m_violation.empty())
            return;
        std::map<job_id, contract_id> expected;
        for (const auto &[id, guarantee] : m_contracts) {
            const std::uint32_t used = usedOf(id);
            for (std::uint32_t i = used; i < guarantee.count; ++i) {
                submit(guarantee.team.str(), guarantee.guaranteed, urgency::Urgent);
                expected[jobIdFor(guarantee.team, request_id(absl::StrCat("q", m_nextRequest - 1)))]
                    = id;
            }
        }
        scheduleUntilIdle();
        for (const auto &[id, guarantee] : m_contracts) {
            if (usedOf(id) < guarantee.count && m_violation.empty())
                fail(absl::StrCat("contract ", id.str(), " got ", usedOf(id), " of ",
                                  guarantee.count, " gangs"));
        }
    }

    double uniform() { return std::uniform_real_distribution<double> {}(m_random); }
    std::size_t randomBelow(std::size_t limit) { return m_random() % limit; }
    cell_result verdict() const { return {m_violation.empty(), m_violation}; }

private:
    struct placed_gang
    {
        attempt_number attempt = 0;
        std::vector<gang_member> members;
        contract_id contract;
        bool stopping = false;
    };

    template<class value>
    void expect(const value &outcome)
    {
        if (!outcome)
            fail(outcome.error().message);
    }

    void fail(const std::string &text)
    {
        if (m_violation.empty())
            m_violation = text;
    }

    static bool uses(const placed_gang &gang, const worker_id &id)
    {
        return std::any_of(gang.members.begin(), gang.members.end(),
                           [&id](const gang_member &member) { return member.worker == id; });
    }

    std::uint32_t usedOf(const contract_id &id) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(m_placed.begin(), m_placed.end(),
                          [&id](const auto &entry) { return entry.second.contract == id; }));
    }

    /// True if all unused guarantees fit on the accelerators that no gang under contract uses.
    bool guaranteesFit()
    {
        std::vector<std::uint32_t> available;
        for (std::size_t i = 0; i < Workers; ++i) {
            const worker_id id = workerAt(i).id;
            std::uint32_t count = m_unusable.contains(id) ? 0 : 8;
            for (const auto &[job, gang] : m_placed) {
                for (const gang_member &member : gang.members) {
                    if (member.worker == id && !gang.contract.isEmpty() && count > 0)
                        count -= static_cast<std::uint32_t>(std::popcount(member.accelerators));
                }
            }
            available.push_back(count);
        }
        std::vector<shape> shapes;
        for (const auto &[id, guarantee] : m_contracts)
            shapes.insert(shapes.end(), guarantee.count - std::min(guarantee.count, usedOf(id)),
                          guarantee.guaranteed);
        const auto found = packing_search(available, shapes).fits();
        if (!found)
            fail("the brute-force packing search was cut off");
        return found.value_or(false);
    }

    void accept(const place_decision &place)
    {
        const bool before = guaranteesFit();
        for (const auto &[job, gang] : m_placed) {
            for (const gang_member &member : gang.members) {
                for (const gang_member &wanted : place.members) {
                    if (member.worker == wanted.worker
                        && (member.accelerators & wanted.accelerators) != 0)
                        fail(absl::StrCat("accelerators of ", member.worker.str(),
                                          " were placed twice"));
                }
            }
        }
        for (const gang_member &member : place.members) {
            if (m_unusable.contains(member.worker))
                fail(absl::StrCat("job placed on unusable worker ", member.worker.str()));
        }
        expect(m_policy.placementAccepted(place.job, place.attempt, place.members, place.contract));
        expect(m_policy.gangStarted(place.job, place.attempt, m_now));
        m_placed[place.job] = {place.attempt, place.members, place.contract, false};
        m_waiting.erase(place.job);
        if (before && !guaranteesFit())
            fail(absl::StrCat("after the placement of job ", place.job.str(),
                              " the unused guarantees can no longer be packed"));
    }

    void accept(const preempt_decision &preempt)
    {
        expect(m_policy.preemptionAccepted(preempt));
        const auto victim = m_placed.find(preempt.job);
        if (victim == m_placed.end() || !victim->second.contract.isEmpty())
            fail("a gang under contract was preempted");
        else
            victim->second.stopping = true;
    }

    template<class test>
    void endWhere(const test &ends, attempt_outcome outcome)
    {
        std::vector<std::pair<job_id, placed_gang>> ended;
        for (const auto &[id, gang] : m_placed) {
            if (ends(gang))
                ended.emplace_back(id, gang);
        }
        for (const auto &[id, gang] : ended) {
            expect(m_policy.attemptEnded(id, gang.attempt, outcome, m_now, 60));
            m_placed.erase(id);
            if (outcome != attempt_outcome::Completed)
                m_waiting[id] = gang.attempt + 1;
        }
    }

    std::mt19937_64 m_random;
    scheduler m_policy;
    absl::Time m_now = Start;
    std::map<contract_id, contract> m_contracts;
    std::map<job_id, job_spec> m_specs;
    std::map<job_id, attempt_number> m_waiting;
    std::map<job_id, placed_gang> m_placed;
    std::map<worker_id, worker_condition> m_unusable;
    std::uint64_t m_nextRequest = 0;
    std::string m_violation;
};

constexpr std::array<shape, 5> SmallShapes {{{1, 1, adjacency::Worker},
                                             {1, 2, adjacency::Worker},
                                             {1, 4, adjacency::Worker},
                                             {1, 8, adjacency::Worker},
                                             {2, 4, adjacency::Rack}}};

/// Fills the site with borrowed work of all teams.
void flood(recorded_site &site, std::size_t jobs, urgency level)
{
    const std::array<const char *, 4> names {"a", "b", "c", "d"};
    for (std::size_t i = 0; i < jobs; ++i)
        site.submit(names[site.randomBelow(4)], SmallShapes[site.randomBelow(SmallShapes.size())],
                    level);
}

/// Leaves one free accelerator in each large rack when urgent work arrives; one urgent gang in
/// each would leave no rack for the largest guarantee.
void scatterUrgentWork(recorded_site &site)
{
    for (int i = 0; i < 88; ++i)
        site.submit("c", {1, 1, adjacency::Worker}, urgency::Normal);
    site.scheduleUntilIdle();
    for (const std::size_t index : {0, 3, 6})
        site.completeOneGangOn(index);
    for (int i = 0; i < 3; ++i)
        site.submit("d", {1, 1, adjacency::Worker}, urgency::Urgent);
    site.scheduleUntilIdle();
}

/// Runs 12 rounds in which borrowed work arrives, gangs end and urgent jobs arrive, with the fault
/// in the middle of each round; then every team claims its guarantee.
cell_result runRounds(const cell_context &context,
                      const std::function<void(recorded_site &, int)> &fault)
{
    recorded_site site(context);
    scatterUrgentWork(site);
    for (int round = 0; round < 12; ++round) {
        flood(site, 60, round % 2 == 0 ? urgency::Normal : urgency::Background);
        site.scheduleUntilIdle();
        // Urgent work arrives while the free accelerators are scattered; placed there, it would
        // break the large guarantees.
        site.completeSomeGangs(0.15);
        site.submit("c", {1, 2, adjacency::Worker}, urgency::Urgent);
        for (int i = 0; i < 5; ++i)
            site.submit("d", {1, 1, adjacency::Worker}, urgency::Urgent);
        site.scheduleUntilIdle();
        fault(site, round);
        site.completeSomeGangs(0.2);
        site.scheduleUntilIdle();
    }
    site.claimAllGuarantees();
    return site.verdict();
}

/// Gives `count` workers the condition in odd rounds and makes them usable again in even rounds.
std::function<void(recorded_site &, int)> alternateCondition(std::size_t first, std::size_t count,
                                                             worker_condition condition)
{
    return [=](recorded_site &site, int round) {
        for (std::size_t i = first; i < first + count; ++i)
            site.setCondition(i, round % 2 == 1 ? condition : worker_condition::Usable);
    };
}

std::vector<cell> policyCells()
{
    std::vector<cell> all;
    const auto add = [&all](const char *fault, const char *step,
                            std::function<void(recorded_site &, int)> apply) {
        all.push_back({"I1", fault, step,
                       [apply = std::move(apply)](const cell_context &context) {
                           return runRounds(context, apply);
                       },
                       "guarantee-check"});
    };
    add("none", "mixed-work", [](recorded_site &, int) {});
    add("worker-failed", "under-load", alternateCondition(4, 1, worker_condition::Failed));
    add("rack-failed", "under-load", alternateCondition(9, 2, worker_condition::Failed));
    add("worker-draining", "under-load", alternateCondition(1, 1, worker_condition::Draining));
    add("worker-guarded", "under-load", alternateCondition(7, 1, worker_condition::Quarantined));
    add("mass-cancellation", "queue-full",
        [](recorded_site &site, int) { site.cancelWaiting(0.9); });
    add("flood-of-background-work", "under-load",
        [](recorded_site &site, int) { flood(site, 120, urgency::Background); });
    add("flood-of-urgent-work", "under-load",
        [](recorded_site &site, int) { flood(site, 60, urgency::Urgent); });
    add("contract-changed", "under-load", [](recorded_site &site, int round) {
        site.setContract("d", {1, 1, adjacency::Worker}, round % 2 == 0 ? 10 : 8);
    });
    return all;
}

const cell_registration PolicyCells(policyCells);

} // namespace
} // namespace hyssoppond::faults
