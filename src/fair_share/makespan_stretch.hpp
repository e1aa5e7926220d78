/// How long pipelines take when they have to share what there is. A pure function.
///
/// DSMF orders pipelines by their remaining makespan, and takes all tasks of a job to run at once.
/// Where more is asked for than there is, they do not: an array of thousands of short tasks then
/// counted as short, held everything for minutes, and most jobs of its class came late. Reckoned on
/// an even part of what is left to its rank, a pipeline lasts as many times longer as its tasks
/// exceed that part. Where everything fits, nothing is stretched and the order is DSMF's own.
/// docs/fair-share.md, "Order under overload".
#pragma once

#include <map>
#include <vector>

namespace bendspindle::fair_share {

/// What a pipeline asks for. Shares are parts of the machines that a pipeline may use, by the
/// resource of which it asks for
// the most: 1 is all of them.
struct PipelineDemand {
    int rank = 0;      // lower goes first
    double share = 0;  // that its waiting tasks would take at once
};

/// `used`: what each rank has in use. Returns a factor of at least 1 for each pipeline.
[[nodiscard]] std::vector<double> stretch(const std::vector<PipelineDemand>& pipelines,
                                          const std::map<int, double>& used);

}  // namespace bendspindle::fair_share
