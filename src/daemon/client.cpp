#include "daemon/client.hpp"

#include <iostream>

#include "config/settings_error.hpp"
#include "config/text_file.hpp"
#include "io/http_client.hpp"
#include "wire/cbor.hpp"
#include "wire/cbor_validation.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::daemon {

namespace {

constexpr std::chrono::seconds response_timeout{5};

io::HttpClient connect(const std::string& endpoint) {
    const auto parsed = io::parse_endpoint(endpoint);
    if (!parsed) throw config::SettingsError("--to", "is not HOST:PORT");
    return io::HttpClient(*parsed, response_timeout);
}

int print_response(const std::optional<io::HttpResponse>& response) {
    if (!response) {
        std::cerr << "bendspindle: no answer\n";
        return 3;
    }
    const auto body = wire::parse_cbor(response->body);
    std::cout << (body ? body->dump() : std::string("{}")) << "\n";
    if (response->status == wire::http_status::ok || response->status == wire::http_status::created)
        return 0;
    std::cerr << "bendspindle: refused with status " << response->status << "\n";
    return 1;
}

// CBOR is written recursively, so the depth is checked while the document is parsed.
wire::Value parse_job(const std::string& file) {
    using Event = wire::Value::parse_event_t;
    bool too_deep = false;
    // `outer` is the number of lists and maps around the one that begins.
    const auto is_allowed = [&](int outer, Event event, const wire::Value&) {
        const bool begins = event == Event::object_start || event == Event::array_start;
        if (begins && outer >= wire::max_cbor_depth) too_deep = true;
        return !too_deep;
    };
    auto job = wire::Value::parse(config::read_text_file(file), is_allowed, false);
    if (too_deep) throw config::SettingsError(file, "is nested too deeply");
    if (job.is_discarded()) throw config::SettingsError(file, "is not JSON");
    return job;
}

}  // namespace

int submit_file(const std::string& endpoint, const std::string& file) {
    const auto job = parse_job(file);
    return print_response(connect(endpoint).post(wire::path::jobs, wire::to_cbor(job)));
}

int show_status(const std::string& endpoint, const std::string& id) {
    return print_response(connect(endpoint).get(std::string(wire::path::jobs) + "/" + id));
}

int cancel_job(const std::string& endpoint, const std::string& id) {
    return print_response(
        connect(endpoint).post(std::string(wire::path::jobs) + "/" + id + "/cancel",
                               wire::to_cbor(wire::Value::object())));
}

}  // namespace bendspindle::daemon
