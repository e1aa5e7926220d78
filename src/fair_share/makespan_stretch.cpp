#include "fair_share/makespan_stretch.hpp"

#include <algorithm>

namespace bendspindle::fair_share {

namespace {

// Ranks before it may have asked for everything; what little ends meanwhile is still shared.
constexpr double least_left = 0.05;

}  // namespace

std::vector<double> stretch(const std::vector<PipelineDemand>& pipelines,
                            const std::map<int, double>& used) {
    struct Rank {
        double used = 0;
        double asked = 0;
        double pipelines = 0;
        double even_part = 0;  // 0: everything fits
    };
    std::map<int, Rank> ranks;
    for (const auto& [rank, share] : used) ranks[rank].used = share;
    for (const auto& pipeline : pipelines) {
        auto& rank = ranks[pipeline.rank];
        rank.asked += pipeline.share;
        rank.pipelines += 1;
    }
    double before = 0;  // in use or asked for by ranks that go first
    for (auto& [number, rank] : ranks) {
        const double left = std::max(1 - before, least_left);
        const double wanted = rank.used + rank.asked;
        if (wanted > left && rank.pipelines > 0) rank.even_part = left / rank.pipelines;
        before += wanted;
    }
    std::vector<double> out;
    out.reserve(pipelines.size());
    for (const auto& pipeline : pipelines) {
        const auto part = ranks.at(pipeline.rank).even_part;
        out.push_back(part > 0 ? std::max(1.0, pipeline.share / part) : 1.0);
    }
    return out;
}

}  // namespace bendspindle::fair_share
