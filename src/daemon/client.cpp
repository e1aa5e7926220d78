#include "daemon/client.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

#include "config/settings_error.hpp"
#include "io/http_client.hpp"
#include "wire/cbor.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::daemon {

namespace {

constexpr std::chrono::seconds answer_limit{5};

io::HttpClient connect(const std::string& endpoint) {
    const auto parsed = io::parse_endpoint(endpoint);
    if (!parsed) throw config::SettingsError("--to", "is not HOST:PORT");
    return io::HttpClient(*parsed, answer_limit);
}

int show(const std::optional<io::HttpAnswer>& answer) {
    if (!answer) {
        std::cerr << "bendspindle: no answer\n";
        return 3;
    }
    const auto body = wire::parse_cbor(answer->body);
    std::cout << (body ? body->dump() : std::string("{}")) << "\n";
    if (answer->status == wire::http_status::ok || answer->status == wire::http_status::created)
        return 0;
    std::cerr << "bendspindle: refused with status " << answer->status << "\n";
    return 1;
}

}  // namespace

int submit_file(const std::string& endpoint, const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw config::SettingsError(file, "cannot be read");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto job = wire::Value::parse(text, nullptr, false);
    if (job.is_discarded()) throw config::SettingsError(file, "is not JSON");
    return show(connect(endpoint).post(wire::path::work, wire::to_cbor(job)));
}

int show_status(const std::string& endpoint, const std::string& id) {
    return show(connect(endpoint).get(std::string(wire::path::work) + "/" + id));
}

int cancel_job(const std::string& endpoint, const std::string& id) {
    return show(connect(endpoint).post(std::string(wire::path::work) + "/" + id + "/cancel",
                                       wire::to_cbor(wire::Value::object())));
}

}  // namespace bendspindle::daemon
