// The key-value store of the simulated cluster and the writer of its leader: writes that are
// prompt, slow, refused or unanswered, and the conditions that each of them names.
#include <algorithm>

#include "standin/simulated_cluster.hpp"

namespace bendspindle::standin {

namespace {

using core::Seconds;
using core::TaskState;

constexpr double unanswered_timeout_s = 2;

}  // namespace

void SimulatedCluster::write_records() {
    carry_out_writes();
    if (!controller_ || !state_up_ || now_ < next_write_at_) return;
    const auto under_way = [&](const auto& other) { return other.answered && other.term == term_; };
    if (std::any_of(transactions_.begin(), transactions_.end(), under_way)) return;
    const auto changes = controller_->due_writes(48, at());
    if (changes.empty()) return;
    const auto terminal_states = controller_->mark_sent(changes);
    if (writes_ == Writes::refused) {
        controller_->mark_rejected(terminal_states);
        return;
    }
    const bool answered = writes_ != Writes::unanswered;
    // One that has no answer is given up after a while, and the same is sent again.
    if (!answered) next_write_at_ = now_ + unanswered_timeout_s;
    const auto late = writes_ == Writes::prompt ? 0 : write_delay_;
    transactions_.push_back({now_ + late, term_, changes, answered});
    carry_out_writes();
}

void SimulatedCluster::carry_out_writes() {
    if (!state_up_) return;
    for (std::size_t i = 0; i < transactions_.size();) {
        if (transactions_[i].at > now_ + 1e-9) {
            ++i;
            continue;
        }
        const auto transaction = transactions_[i];
        transactions_.erase(transactions_.begin() + static_cast<std::ptrdiff_t>(i));
        const bool holds = conditions_hold(transaction);
        if (holds) {
            ++revision_;
            for (const auto& change : transaction.changes) carry_out(change, revision_);
        } else {
            ++rejected_writes_;
        }
        const bool answer_arrives =
            transaction.answered && controller_ && transaction.term == term_;
        if (answer_arrives && holds)
            controller_->mark_committed(transaction.changes, revision_, at());
        if (answer_arrives && !holds)
            for (const auto& change : transaction.changes) reconcile_conflict(change);
    }
}

// Each names the term of the leader, and the revisions of the records that it changes.
bool SimulatedCluster::conditions_hold(const Transaction& transaction) const {
    return transaction.term == term_ &&
           std::all_of(transaction.changes.begin(), transaction.changes.end(),
                       [&](const auto& change) { return condition_holds(change); });
}

bool SimulatedCluster::condition_holds(const core::RecordWrite& change) const {
    using Type = core::RecordWrite::Type;
    if (change.type == Type::put_machine || change.type == Type::delete_machine) {
        const auto it = records_.find(change.id);
        return change.mod_revision == (it == records_.end() ? 0 : it->second.second);
    }
    const auto it = jobs_.find(change.id);
    const bool names_final = change.type == Type::finish_job || change.mod_revision == 0;
    return change.mod_revision == (it == jobs_.end() ? 0 : it->second.second) &&
           !(names_final && terminal_states_.contains(change.id));
}

void SimulatedCluster::carry_out(const core::RecordWrite& change, std::uint64_t mod_revision) {
    using Type = core::RecordWrite::Type;
    record_decision("write " + std::to_string(static_cast<int>(change.type)) + " " + change.id);
    if (change.type == Type::put_job) {
        jobs_[change.id] = {change.job, mod_revision};
    } else if (change.type == Type::finish_job) {
        jobs_.erase(change.id);
        if (terminal_states_.contains(change.id)) fail("a final record is written twice");
        terminal_states_[change.id] = change.job.terminal_state;
        // From here on any controller may report it, so the bound counts from here, across
        // every change of leader.
        if (change.job.terminal_state == core::TerminalState::cancelled)
            cancelled_at_[change.id] = now_;
    } else if (change.type == Type::put_machine) {
        records_[change.id] = {change.machine, mod_revision};
    } else {
        records_.erase(change.id);
    }
}

// As the state writer does where a condition did not hold: an earlier write whose response was lost
// has been carried out after all.
void SimulatedCluster::reconcile_conflict(const core::RecordWrite& change) {
    if (condition_holds(change)) return;
    using Type = core::RecordWrite::Type;
    if (change.type == Type::put_machine || change.type == Type::delete_machine) {
        const auto it = records_.find(change.id);
        controller_->set_mod_revision(change.type, change.id,
                                      it == records_.end() ? 0 : it->second.second);
        return;
    }
    if (terminal_states_.contains(change.id)) {
        controller_->apply_recorded_terminal_state(change.id, terminal_states_.at(change.id), at());
        return;
    }
    const auto it = jobs_.find(change.id);
    if (change.type == Type::put_job && it != jobs_.end() && it->second.first.home.empty()) {
        controller_->adopt_existing_record(it->second.first, it->second.second, at());
        return;
    }
    controller_->set_mod_revision(change.type, change.id,
                                  it == jobs_.end() ? 0 : it->second.second);
}

}  // namespace bendspindle::standin
