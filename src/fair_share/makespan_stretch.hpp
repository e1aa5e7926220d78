/// Estimates how much longer pipelines take when they share the available machines. A pure
/// function.
///
/// DSMF orders pipelines by remaining makespan and assumes that all tasks of a job run at once.
/// When demand exceeds capacity, that assumption fails: an array of thousands of short tasks was
/// ranked as short, occupied all machines for minutes, and made most jobs of its class late. A
/// pipeline's makespan is therefore multiplied by the ratio of its share to an equal share of the
/// capacity that is left for its rank. When everything fits, all factors are 1 and the order is
/// that of plain DSMF. See docs/fair-share.md, "Order under overload".
#pragma once

#include <map>
#include <vector>

namespace bendspindle::fair_share {

/// The demand of a pipeline. A share is the fraction of the machines allowed for the pipeline,
/// measured by the resource of which the pipeline needs the largest fraction; 1 is all of them.
struct PipelineDemand {
    int rank = 0;      // lower ranks are scheduled first
    double share = 0;  // share that its waiting tasks would use if all of them ran at once
};

/// Returns one factor of at least 1 for each pipeline. `used` is the share in use by each rank.
[[nodiscard]] std::vector<double> compute_stretch_factors(
    const std::vector<PipelineDemand>& pipelines, const std::map<int, double>& used);

}  // namespace bendspindle::fair_share
