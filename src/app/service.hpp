// One controller: routes what users and workers ask to whoever acts, and acts when it is its turn.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "app/acceptor.hpp"
#include "app/allowance.hpp"
#include "app/cancellation_replication.hpp"
#include "app/cloud_desk.hpp"
#include "app/courier.hpp"
#include "app/membership.hpp"
#include "app/office.hpp"
#include "app/peers.hpp"
#include "app/recorder.hpp"
#include "app/reply.hpp"
#include "app/report_desk.hpp"
#include "app/settings.hpp"
#include "app/state_store.hpp"
#include "io/http_server.hpp"
#include "io/peer_link.hpp"

namespace bendspindle::app {

class Service {
  public:
    Service(Settings settings, OperatorSettings own);
    // Serves until it is asked to stop (`stop_asked`), and ends the process then. False: an address
    // could not be bound.
    bool run();

  private:
    using Clock = std::chrono::steady_clock;

    // Users.
    Reply submit(const std::string& body);
    Reply accept_elsewhere(const core::JobSpec& spec);
    Reply status(const std::string& id, From from);
    Reply cancel(const std::string& id, From from);
    std::optional<Reply> from_final(const std::string& id, bool with_counts);
    Reply from_records(const std::string& id, bool with_counts);
    Reply read_records(const std::string& id, bool with_counts);
    Reply poll_records(const std::string& id, bool with_counts);
    Reply known_by_records(const std::string& id, bool with_counts);
    template <typename Ready>
    bool wait_recorded(std::unique_lock<std::mutex>& lock, Ready ready);

    Reply tell_word(const std::string& sibling);

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
    void give_way_if_unreached();
    void stop_when_asked(io::HttpServer& http);

    Settings settings_;
    OperatorSettings own_;
    HttpStateStore store_;
    Office office_;
    FinalCache finals_;
    Membership membership_;
    Peers peers_;
    CancellationReplication replication_;
    Recorder recorder_;
    Acceptor acceptor_;
    CloudDesk cloud_;
    Courier courier_;
    ReportDesk reports_;
    std::mutex reads_mutex_;
    Allowance poll_reads_;
    // When the acting controller last said that it acts.
    std::atomic<Clock::time_point> steward_spoke_{Clock::time_point{}};
};

}  // namespace bendspindle::app
