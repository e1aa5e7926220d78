// One controller: routes what users and workers ask to whoever acts, and acts when it is its turn.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "app/acceptor.hpp"
#include "app/allowance.hpp"
#include "app/cloud_desk.hpp"
#include "app/courier.hpp"
#include "app/membership.hpp"
#include "app/office.hpp"
#include "app/recorder.hpp"
#include "app/renewals.hpp"
#include "app/settings.hpp"
#include "app/state_store.hpp"
#include "app/visits.hpp"
#include "io/http_server.hpp"
#include "io/peer_link.hpp"

namespace bendspindle::app {

struct Reply {
    int status = 503;
    int retry_after = 0;  // seconds; 0: none
    std::string body;
};

class Service {
  public:
    Service(Settings settings, OperatorSettings own);
    // Serves until it is asked to stop (`stop_asked`), and ends the process then. False: an address
    // could not be bound.
    bool run();

  private:
    using Clock = std::chrono::steady_clock;
    enum class From : std::uint8_t { outside, sibling };

    // Users.
    Reply submit(const std::string& body);
    Reply accept_elsewhere(const core::JobSpec& spec);
    Reply status(const std::string& id, From from);
    Reply cancel(const std::string& id, From from);
    std::optional<Reply> hand_on(wire::peer::Op op, const std::string& id, const std::string& body);
    std::optional<Reply> from_final(const std::string& id, bool with_counts);
    Reply from_records(const std::string& id, bool with_counts);
    Reply read_records(const std::string& id, bool with_counts);
    Reply poll_records(const std::string& id, bool with_counts);
    Reply known_by_records(const std::string& id, bool with_counts);
    template <typename Ready>
    bool wait_recorded(std::unique_lock<std::mutex>& lock, Ready ready);

    // Workers.
    Reply report(const std::string& body, From from);
    Reply report_elsewhere(const core::Report& report, const std::string& body,
                           const Standing& standing);

    // Without anybody who acts at hand: for a bounded time the worker may go on.
    Reply renew_unheard(const core::Report& report, std::uint64_t epoch);
    // Whether this controller, which acts, may renew leases.
    bool may_renew();
    // What this controller, which acts with these, tells those that do not.
    wire::peer::Word word(const core::Controller& controller);
    Reply tell_word(const std::string& sibling);
    // Whether a cancellation may be confirmed after it: enough siblings know of it.
    bool tell_cancelled(const std::string& id, std::uint64_t epoch);
    Reply hear_cancelled(const std::string& id, std::uint64_t epoch);

    bool healthy() const;
    wire::peer::Answer answer_sibling(const wire::peer::Request& request);

    void take_over(std::uint64_t epoch, std::uint64_t steward_stamp);
    // The revision up to which records were read, if they were.
    std::optional<std::uint64_t> load(core::Controller& controller);
    void learn();
    void learn_jobs(const std::vector<wire::Entry>& entries, std::uint64_t revision,
                    std::uint64_t epoch);
    bool learn_job(const std::string& id, std::uint64_t epoch);
    void stand_down();
    void place();
    static void tell_starts(core::Controller& controller);
    void announce();
    void tell_siblings(const Standing& standing);
    void ask_for_vouchers(const Standing& standing);
    void ask_for_word(const Standing& standing);
    bool ask_who_acts(const Standing& standing);
    void ask_the_others(const Standing& standing);
    void give_way_if_unreached();
    void stop_when_asked(io::HttpServer& http);

    Settings settings_;
    OperatorSettings own_;
    StateStore store_;
    Office office_;
    FinalCache finals_;
    Membership membership_;
    Recorder recorder_;
    Acceptor acceptor_;
    CloudDesk cloud_;
    Courier courier_;
    std::map<std::string, std::unique_ptr<io::PeerClient>> siblings_;
    std::atomic<Clock::time_point> last_sibling_answer_{Clock::time_point{}};
    std::mutex visits_mutex_;
    Visits visits_;
    std::mutex reads_mutex_;
    Allowance poll_reads_;
    // Siblings of which a call has just failed, and until when none is tried.
    std::mutex failed_mutex_;
    std::map<std::string, Clock::time_point> failed_until_;
    std::mutex reach_mutex_;
    Reach reach_;
    std::mutex renewals_mutex_;  // taken while holding the office's, never the other way round
    RoleProof proof_;
    LastWord last_word_;
    // When the acting controller last said that it acts.
    std::atomic<Clock::time_point> steward_spoke_{Clock::time_point{}};
};

}  // namespace bendspindle::app
