/// @file Implementation of the worker speed model.
#include "hyssoppond/batch/worker_speed_model_base.h"

#include "grid_distribution_func.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hyssoppond::batch {

namespace {

/// Standard deviation of the logarithm of an item's run time at a given level and slowness.
constexpr double NoiseSpread = 0.2;

/// The same for a run time that is estimated by the progress of the run.
constexpr double ProgressSpread = 0.3;

/// Share of runs that take much longer than others of their step, and the distribution of their
/// excess. It covers factors from about 2 to 10.
constexpr double LongShare = 0.04;
constexpr double LongMean = 1.5;
constexpr double LongSpread = 0.8;

/// Highest share of long runs assumed for a gang, each of whose members may run long.
constexpr double MaxLongShare = 0.3;

/// Share of the prior that is mixed into a worker's distribution before each update. A worker that
/// has become slow is then noticed after two or three runs.
constexpr double PriorShare = 0.03;

/// Standard deviation of the slowness of workers, before any is known, and the number of workers
/// that this assumption counts for.
constexpr double BaseSpread = 0.4;
constexpr double BaseWorkers = 4.0;

/// Workers count as equally fast while the variance of the logarithms of their slowness is below
/// this bound, or is not known to be above it with so many standard errors.
constexpr double MinSlownessVariance = 0.1 * 0.1;
constexpr double UnequalStandardErrors = 2.0;

/// Least effective number of pairs of runs by which workers are told apart.
constexpr double MinRetestPairs = 6.0;

/// Decay of earlier pairs of runs with each pair.
constexpr double RetestDecay = 0.9995;

/// Decay of a worker's earlier residuals with each run.
constexpr double ResidualDecay = 0.9;

/// Largest residual that counts, as one long run must not show unequal workers.
constexpr double MaxResidual = 1.0;

/// Steps that are kept. A step of a large site ends long before so many others have begun.
constexpr std::size_t MaxSteps = 2'048;

/// Items of a step whose evidence is revised as long as the step has not had more. The level of the
/// step is well known by then.
constexpr std::size_t RevisedItems = 10;

/// Workers of a kind that are refreshed with each run, to bound its cost.
constexpr std::size_t RefreshedWorkers = 24;

/// Least likelihood of a run time, relative to one at the expected time.
constexpr double MinLikelihood = 1e-6;

/// Change of the logarithm of the slowness that is reported: a factor of about 1.4.
constexpr double NotableChange = 0.33;

/// Likelihood of a run time at `distance` from the middle of both grids for each sum of the indexes
/// of level and slowness.
template<std::size_t points>
std::array<double, points> likelihoodOfSums(double distance, double longShare, double noise)
{
    std::array<double, points> likelihood {};
    for (std::size_t i = 0; i < points; ++i) {
        const double rest = distance - pointAt(i, points);
        likelihood[i] = (1.0 - longShare) * density(rest, noise)
            + longShare * density(rest - LongMean, LongSpread) + MinLikelihood;
    }
    return likelihood;
}

/// The likelihood relative to its highest value, as far as it survives the prior that is mixed in
/// afterwards. It can then be divided out again.
template<std::size_t points>
std::array<double, points> bounded(std::array<double, points> likelihood)
{
    const double highest = *std::max_element(likelihood.begin(), likelihood.end());
    for (double &value : likelihood)
        value = value / highest + PriorShare;
    return likelihood;
}

} // namespace

void worker_speed_model::retest_covariance::add(double first, double second, double sampleWeight)
{
    weight = weight * RetestDecay + sampleWeight;
    squaredWeight = squaredWeight * RetestDecay * RetestDecay + sampleWeight * sampleWeight;
    const double share = sampleWeight / weight;
    const double sample = first * second;
    product += share * (sample - product);
    squaredProduct += share * (sample * sample - squaredProduct);
}

void worker_speed_model::retest_covariance::addResidual(double value, double sampleWeight)
{
    residualWeight = residualWeight * RetestDecay + sampleWeight;
    residual += sampleWeight / residualWeight * (value - residual);
}

double worker_speed_model::retest_covariance::standardError() const
{
    const double pairs = squaredWeight > 0 ? weight * weight / squaredWeight : 0;
    if (pairs < MinRetestPairs)
        return HUGE_VAL;
    return std::sqrt(std::max(0.0, squaredProduct - product * product) / pairs);
}

double worker_speed_model::varianceOf(const slowness_distribution &probability)
{
    const double mean = meanOf(probability);
    double variance = 0;
    for (std::size_t i = 0; i < SlownessPoints; ++i) {
        const double distance = pointAt(i, SlownessPoints) - mean;
        variance += probability[i] * distance * distance;
    }
    return variance;
}

double worker_speed_model::meanOf(const slowness_distribution &probability)
{
    double mean = 0;
    for (std::size_t i = 0; i < SlownessPoints; ++i)
        mean += probability[i] * pointAt(i, SlownessPoints);
    return mean;
}

const worker_speed_model::slowness_distribution &worker_speed_model::basePrior()
{
    static const slowness_distribution base = bellCurve<SlownessPoints>(BaseSpread);
    return base;
}

worker_speed_model::slowness_distribution worker_speed_model::priorOf(
    const population &workers) const
{
    slowness_distribution prior {};
    for (std::size_t i = 0; i < SlownessPoints; ++i)
        prior[i] = (BaseWorkers * basePrior()[i] + workers.sum[i]) / (BaseWorkers + workers.weight);
    return prior;
}

worker_speed_model::worker_state &worker_speed_model::stateOf(const speed_member &member)
{
    const auto [entry, added] = m_workers.try_emplace(member.worker);
    worker_state &worker = entry->second;
    if (!added)
        return worker;
    worker.kind = member.kind;
    population &workers = m_populations[member.kind];
    worker.likelihood.fill(1.0);
    worker.probability = priorOf(workers);
    workers.workers.push_back(&worker);
    m_meanSum += meanOf(worker.probability);
    return worker;
}

void worker_speed_model::refresh(worker_state *worker)
{
    population &workers = m_populations[worker->kind];
    const slowness_distribution prior = priorOf(workers);
    slowness_distribution updated {};
    slowness_distribution alone {};
    for (std::size_t i = 0; i < SlownessPoints; ++i) {
        updated[i] = prior[i] * worker->likelihood[i];
        alone[i] = basePrior()[i] * worker->likelihood[i];
    }
    const double sum = normalize(&updated);
    normalize(&alone);
    // A worker of which little is known must not confirm the prior from which its distribution
    // comes.
    static const double baseVariance = varianceOf(basePrior());
    const double weight = std::clamp(1.0 - varianceOf(alone) / baseVariance, 0.0, 1.0);
    for (std::size_t i = 0; i < SlownessPoints; ++i) {
        workers.sum[i] += weight * updated[i] - worker->weight * worker->probability[i];
        worker->likelihood[i] /= sum;
    }
    workers.weight += weight - worker->weight;
    m_meanSum += meanOf(updated) - meanOf(worker->probability);
    worker->probability = updated;
    worker->weight = weight;
}

void worker_speed_model::refreshSome(const std::string &kind)
{
    population &workers = m_populations[kind];
    for (std::size_t i = 0; i < std::min(RefreshedWorkers, workers.workers.size()); ++i) {
        workers.nextRefreshed = (workers.nextRefreshed + 1) % workers.workers.size();
        refresh(workers.workers[workers.nextRefreshed]);
    }
}

double worker_speed_model::averageLog() const
{
    return m_workers.empty() ? 0.0 : m_meanSum / static_cast<double>(m_workers.size());
}

worker_speed_model::step_estimate worker_speed_model::newStep(
    const speed_observation &observation) const
{
    step_estimate step;
    // The prediction is for a worker of mean speed, which need not be the middle of the grid.
    step.center = observation.logPredicted - averageLog();
    step.probability = bellCurve<LevelPoints>(std::max(GridStep, observation.levelSpread));
    return step;
}

worker_speed_model::step_estimate &worker_speed_model::stepOf(const speed_observation &observation,
                                                              step_estimate *temporary)
{
    if (!observation.step) {
        *temporary = newStep(observation);
        return *temporary;
    }
    unit_id id = *observation.step;
    id.index = 0;
    const auto [entry, added] = m_steps.try_emplace(id);
    if (added) {
        entry->second = newStep(observation);
        m_stepOrder.push_back(id);
        if (m_stepOrder.size() > MaxSteps) {
            m_steps.erase(m_stepOrder.front());
            m_stepOrder.pop_front();
        }
    }
    return entry->second;
}

void worker_speed_model::noteResidual(const speed_observation &observation,
                                      const step_estimate &step,
                                      const std::vector<worker_state *> &workers)
{
    double mean = 0;
    double square = 0;
    for (std::size_t i = 0; i < LevelPoints; ++i) {
        const double point = pointAt(i, LevelPoints);
        mean += step.probability[i] * point;
        square += step.probability[i] * point * point;
    }
    const double residual
        = std::clamp(observation.logRunTime - step.center - mean, -MaxResidual, MaxResidual);
    const double noise = NoiseSpread * NoiseSpread;
    const double weight = noise / (noise + std::max(0.0, square - mean * mean));
    m_retest.addResidual(residual, weight);
    const auto members = static_cast<double>(workers.size());
    // Each member of a gang moves its run time by a part of its own slowness only.
    const double scaled = std::sqrt(members) * (residual - m_retest.residual);
    for (worker_state *worker : workers) {
        // Two runs of one step share the error of its level.
        const bool isOtherStep = !observation.step || !worker->lastStep
            || worker->lastStep->job != observation.step->job;
        if (worker->residualWeight > 0 && isOtherStep)
            m_retest.add(worker->residual, scaled, worker->residualWeight * weight / members);
        worker->residualWeight = worker->residualWeight * ResidualDecay + weight;
        worker->residual += weight / worker->residualWeight * (scaled - worker->residual);
        worker->lastStep = observation.step;
    }
    const double bound = m_isUnequal
        ? MinSlownessVariance
        : MinSlownessVariance + UnequalStandardErrors * m_retest.standardError();
    m_isUnequal = m_retest.value() > bound;
}

void worker_speed_model::reviseItems(step_estimate *step)
{
    for (item_evidence &item : step->items) {
        if (item.isGang)
            continue;
        level_distribution others = step->probability;
        for (std::size_t l = 0; l < LevelPoints; ++l)
            others[l] /= item.toLevel[l];
        normalize(&others);
        const slowness_distribution revised = bounded(marginal<SlownessPoints>(
            others,
            likelihoodOfSums<SumPoints>(item.logRunTime - step->center, LongShare,
                                        item.isProgress ? ProgressSpread : NoiseSpread)));
        for (std::size_t k = 0; k < SlownessPoints; ++k)
            item.worker->likelihood[k] *= revised[k] / item.toWorker[k];
        item.toWorker = revised;
        refresh(item.worker);
    }
}

bool worker_speed_model::takeBack(step_estimate *step, std::uint32_t index)
{
    const auto isTakenBack
        = [index](const item_evidence &item) { return item.isProgress && item.index == index; };
    bool isKnown = false;
    for (const item_evidence &item : step->items) {
        if (!isTakenBack(item))
            continue;
        for (std::size_t k = 0; k < SlownessPoints; ++k)
            item.worker->likelihood[k] /= item.toWorker[k];
        refresh(item.worker);
        for (std::size_t l = 0; l < LevelPoints && !isKnown; ++l)
            step->probability[l] /= item.toLevel[l];
        isKnown = true;
    }
    if (!isKnown)
        return false;
    normalize(&step->probability);
    --step->observations;
    std::erase_if(step->items, isTakenBack);
    return true;
}

step_evidence worker_speed_model::learn(const speed_observation &observation)
{
    std::vector<worker_state *> workers;
    std::vector<const speed_member *> members;
    for (const speed_member &member : observation.members) {
        worker_state *worker = &stateOf(member);
        if (std::find(workers.begin(), workers.end(), worker) != workers.end())
            continue;
        workers.push_back(worker);
        members.push_back(&member);
        for (double &value : worker->likelihood)
            value += PriorShare * (1.0 - value);
        refresh(worker);
    }
    step_estimate temporary;
    step_estimate &step = stepOf(observation, &temporary);
    const std::uint32_t index = observation.step ? observation.step->index : 0;
    const bool isKnown = takeBack(&step, index);
    step_evidence evidence {observation.logRunTime, step.observations, {}};
    if (workers.empty())
        return evidence;
    if (!isKnown)
        noteResidual(observation, step, workers);

    const double noise = observation.isProgress ? ProgressSpread : NoiseSpread;
    const double longShare = std::min(
        MaxLongShare, 1.0 - std::pow(1.0 - LongShare, static_cast<double>(workers.size())));
    const auto likelihood
        = likelihoodOfSums<SumPoints>(observation.logRunTime - step.center, longShare, noise);
    const slowness_distribution ofSlowest = marginal<SlownessPoints>(step.probability, likelihood);
    // P(slowness of all members <= point), of those before and after each member.
    std::vector<slowness_distribution> before(workers.size() + 1);
    std::vector<slowness_distribution> after(workers.size() + 1);
    before.front().fill(1.0);
    after.back().fill(1.0);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const slowness_distribution own = cumulative(workers[i]->probability);
        for (std::size_t k = 0; k < SlownessPoints; ++k)
            before[i + 1][k] = before[i][k] * own[k];
    }
    for (std::size_t i = workers.size(); i-- > 0;) {
        const slowness_distribution own = cumulative(workers[i]->probability);
        for (std::size_t k = 0; k < SlownessPoints; ++k)
            after[i][k] = after[i + 1][k] * own[k];
    }
    slowness_distribution slowest = before.back();
    std::adjacent_difference(slowest.begin(), slowest.end(), slowest.begin());

    const level_distribution toLevel = marginal<LevelPoints>(slowest, likelihood);
    slowness_distribution toWorker {};
    std::vector<item_evidence> estimates;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        double slowerOther = 0; // likelihood with another member that is slower than point j
        for (std::size_t j = SlownessPoints; j-- > 0;) {
            const double others = before[i][j] * after[i + 1][j];
            const double othersBelow = j == 0 ? 0 : before[i][j - 1] * after[i + 1][j - 1];
            toWorker[j] = ofSlowest[j] * others + slowerOther;
            slowerOther += ofSlowest[j] * (others - othersBelow);
        }
        const slowness_distribution kept = observation.isProgress ? bounded(toWorker) : toWorker;
        for (std::size_t j = 0; j < SlownessPoints; ++j)
            workers[i]->likelihood[j] *= kept[j];
        if (observation.isProgress && observation.step)
            estimates.push_back({workers[i], observation.logRunTime, kept, toLevel, index, true,
                                 workers.size() > 1});
        refresh(workers[i]);
        workers[i]->observations += 1.0 / static_cast<double>(workers.size());
    }
    for (std::size_t l = 0; l < LevelPoints; ++l)
        step.probability[l] *= toLevel[l];
    normalize(&step.probability);
    ++step.observations;
    if (step.observations <= RevisedItems)
        reviseItems(&step);
    step.items.insert(step.items.end(), estimates.begin(), estimates.end());
    if (workers.size() == 1 && step.observations < RevisedItems && !observation.isProgress)
        step.items.push_back(
            {workers.front(), observation.logRunTime, bounded(toWorker), toLevel, index});
    refreshSome(members.front()->kind);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const double mean = meanOf(workers[i]->probability);
        if (m_isUnequal && std::abs(mean - workers[i]->reported) > NotableChange) {
            workers[i]->reported = mean;
            evidence.changed.push_back(members[i]->worker);
        }
    }
    for (std::size_t k = 0; k < SlownessPoints; ++k)
        slowest[k] *= ofSlowest[k];
    normalize(&slowest);
    evidence.logAtMeanSpeed -= meanOf(slowest) - averageLog();
    return evidence;
}

double worker_speed_model::slownessOf(const process_id &worker) const
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end() || !m_isUnequal)
        return 1.0;
    return std::exp(meanOf(known->second.probability) - averageLog());
}

speed_estimate worker_speed_model::estimateOf(const process_id &worker) const
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end() || !m_isUnequal)
        return {};
    const worker_state &state = known->second;
    return {slownessOf(worker), std::sqrt(varianceOf(state.probability)), state.observations};
}

} // namespace hyssoppond::batch
