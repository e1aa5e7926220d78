#include "fair_share/makespan_stretch.hpp"

#include <algorithm>

namespace bendspindle::fair_share {

namespace {

// Lower bound of the share remaining for a rank. Earlier ranks may have requested everything, but
// some of their tasks end meanwhile, and that capacity is still shared.
constexpr double min_remaining_share = 0.05;

}  // namespace

std::vector<double> compute_stretch_factors(const std::vector<PipelineDemand>& pipelines,
                                            const std::map<int, double>& used) {
    struct Rank {
        double used = 0;
        double requested = 0;
        double pipelines = 0;
        double equal_share = 0;  // 0: the rank's demand fits
    };
    std::map<int, Rank> ranks;
    for (const auto& [rank, share] : used) ranks[rank].used = share;
    for (const auto& pipeline : pipelines) {
        auto& rank = ranks[pipeline.rank];
        rank.requested += pipeline.share;
        rank.pipelines += 1;
    }
    double claimed_before = 0;  // share used or requested by earlier ranks
    for (auto& [number, rank] : ranks) {
        const double remaining = std::max(1 - claimed_before, min_remaining_share);
        const double total_demand = rank.used + rank.requested;
        if (total_demand > remaining && rank.pipelines > 0)
            rank.equal_share = remaining / rank.pipelines;
        claimed_before += total_demand;
    }
    std::vector<double> out;
    out.reserve(pipelines.size());
    for (const auto& pipeline : pipelines) {
        const auto equal_share = ranks.at(pipeline.rank).equal_share;
        out.push_back(equal_share > 0 ? std::max(1.0, pipeline.share / equal_share) : 1.0);
    }
    return out;
}

}  // namespace bendspindle::fair_share
