#include "standin/malformed_messages.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "core/model/heartbeat.hpp"
#include "wire/agent_messages.hpp"
#include "wire/peer.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::standin {

namespace {

using wire::Value;

std::string heartbeat(const std::string& machine, const std::string& address) {
    core::Heartbeat heartbeat;
    heartbeat.machine = machine;
    heartbeat.address = address;
    heartbeat.type = "m4";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = heartbeat.sequence = 1;
    heartbeat.tasks.push_back(
        {"job-x", 0, 1, core::TaskState::running, core::ExitCause::none, false});
    return wire::heartbeat_body(heartbeat);
}

std::string http(const std::string& start_line, const std::string& headers,
                 const std::string& body) {
    return start_line + "\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A well-formed body for the path that the controller asked for.
Value response_to(const std::string& request, const std::string& agent) {
    if (request.find("/orders") != std::string::npos)
        return *wire::parse_cbor(heartbeat("n-1", agent));
    Value entry{{"path", "job/job-1"}, {"v", {{"final", "done"}}}, {"stamp", 7}};
    if (request.find("/catalog") != std::string::npos)
        return {{"builds",
                 {{{"sku", "m4"},
                   {"cores", 4},
                   {"ram_gb", 16},
                   {"cache_gb", 10},
                   {"rate", 1.0},
                   {"fetch_gb_per_s", 10},
                   {"startup_s", 0.1},
                   {"halls", {"a"}}}}}};
    if (request.find("/watch") != std::string::npos)
        return {{"ledger_tick", 7}, {"events", {{{"put", "steward"}, {"v", 1}, {"stamp", 7}}}}};
    if (request.find("/leases") != std::string::npos) return {{"loan", 7}};
    if (request.find("/kv?") != std::string::npos)
        return {{"pairs", {entry}}, {"truncated", false}, {"ledger_tick", 7}};
    if (request.find("/txn") != std::string::npos) return {{"ledger_tick", 8}};
    if (request.find("/machines") != std::string::npos)
        return {{"spindles", {"n-1"}}, {"truncated", false}};
    return entry;
}

}  // namespace

core::JobSpec small_job(const std::string& id) {
    core::JobSpec spec;
    spec.id = id;
    spec.job_class = "c";
    spec.team = "t";
    spec.tasks = 1;
    spec.need = {1, 0, 1};
    spec.image = "img";
    spec.spot = true;
    spec.estimate = core::Seconds(0.5);
    return spec;
}

std::size_t MalformedMessages::draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

Malformation MalformedMessages::draw_malformation() {
    return static_cast<Malformation>(draw(malformation_names.size()));
}

std::string MalformedMessages::draw_bytes(std::size_t length) {
    std::string bytes(length, '\0');
    for (auto& byte : bytes) byte = static_cast<char>(draw(256));
    return bytes;
}

Value MalformedMessages::draw_odd_value(Malformation malformation) {
    if (malformation == Malformation::too_long) return std::string(1 + draw(60'000), 'a');
    if (malformation == Malformation::not_utf8) {
        const std::vector<std::string> texts{"img\xf0(\x8c", "caf\xe9", "\xed\xa0\x80", "\xc0\xaf"};
        return texts[draw(texts.size())];
    }
    if (malformation == Malformation::out_of_range) {
        const std::vector<Value> numbers{-1,
                                         -1e300,
                                         1e300,
                                         5e-324,
                                         0,
                                         std::numeric_limits<std::uint64_t>::max(),
                                         std::numeric_limits<std::int64_t>::min(),
                                         std::nan(""),
                                         std::numeric_limits<double>::infinity()};
        return numbers[draw(numbers.size())];
    }
    const std::vector<Value> others{nullptr,         true,          7,  "text", Value::array(),
                                    Value::object(), Value{{1, 2}}, "", 1.5};
    return others[draw(others.size())];
}

std::string MalformedMessages::malformed_cbor(const Value& value, Malformation malformation) {
    auto changed = value;
    if (!changed.empty() && changed.is_object()) {
        auto field = changed.begin();
        std::advance(field, draw(changed.size()));
        switch (malformation) {
            case Malformation::too_long:
            case Malformation::not_utf8:
            case Malformation::out_of_range:
            case Malformation::other_type:
                if (draw(4) == 0)
                    changed[draw(2) == 0 ? "unknown" : "caf\xe9"] = draw_odd_value(malformation);
                else
                    *field = draw_odd_value(malformation);
                break;
            default:
                break;
        }
    }
    auto bytes = wire::to_cbor(changed);
    if (malformation == Malformation::nested) {
        constexpr std::string_view openings = "\x7f\x5f\x81\x9f\xbf\xc1\xa1";
        const std::string nested(1 + draw(60'000), openings[draw(openings.size())]);
        return draw(2) == 0 ? nested : "\xa1\x61k" + nested;
    }
    if (malformation == Malformation::repeated_name && changed.is_object() && bytes.size() > 1) {
        bytes[0] = static_cast<char>(0xbf);  // a map of indefinite length, if the first was short
        return bytes + bytes.substr(1) + "\xff";
    }
    return broken(bytes, malformation);
}

std::string MalformedMessages::broken(std::string bytes, Malformation malformation) {
    if (malformation == Malformation::cut_off) bytes.resize(draw(bytes.size() + 1));
    if (malformation == Malformation::random_bytes)
        for (std::size_t i = 0; i < 1 + draw(4) && !bytes.empty(); ++i)
            bytes[draw(bytes.size())] = static_cast<char>(draw(256));
    return bytes;
}

std::string MalformedMessages::malformed_path(const std::string& path, Malformation malformation) {
    if (malformation == Malformation::too_long)
        return path + std::string(1 + draw(20'000), "1a/%"[draw(4)]);
    if (malformation == Malformation::not_utf8) return path + "%f0%28%8c\xe9";
    if (malformation == Malformation::other_type) return path + "?" + draw_bytes(20) + "&a=%zz";
    return path;
}

std::string MalformedMessages::malformed_headers(Malformation malformation) {
    std::string headers;
    if (malformation == Malformation::many_headers)
        for (std::size_t i = 0; i < 1 + draw(5000); ++i)
            headers += "A" + std::to_string(i) + ": b\r\n";
    if (malformation == Malformation::too_long && draw(2) == 0)
        headers += "Range: bytes=" + std::string(1 + draw(15'000), '9') + "-\r\n";
    if (malformation == Malformation::nested && draw(2) == 0) {
        headers += "Range: bytes=0-1";
        for (std::size_t i = 0; i < draw(3000); ++i) headers += ",0-1";
        headers += "\r\n";
    }
    if (malformation == Malformation::other_type) {
        const std::vector<std::string> odd{"Transfer-Encoding: chunked\r\n",
                                           "Content-Length: -1\r\n",
                                           "Content-Type: multipart/form-data; boundary=b\r\n",
                                           "Content-Encoding: gzip\r\n",
                                           "Expect: 100-continue\r\n",
                                           "Range: bytes=1000-2000\r\n",
                                           "Accept-Encoding: br\r\n",
                                           "Content-Type: application/x-www-form-urlencoded\r\n"};
        headers += odd[draw(odd.size())];
    }
    return headers;
}

MalformedMessage MalformedMessages::request(const std::string& prefix) {
    const auto malformation = draw_malformation();
    const auto headers = malformed_headers(malformation);
    const auto id = prefix + std::to_string(++next_);
    const auto body = [&](const std::string& valid) {
        return malformed_cbor(*wire::parse_cbor(valid), malformation);
    };
    const auto line = [&](const std::string& method, const std::string& path) {
        return method + " " + malformed_path(path, malformation) + " HTTP/1.1";
    };
    std::string bytes;
    switch (draw(6)) {
        case 0:
        case 1:
            bytes = http("POST /work HTTP/1.1", headers, body(wire::job_body(small_job(id))));
            break;
        case 2:
            bytes = http("POST /checkin HTTP/1.1", headers, body(heartbeat("n-" + id, agent_)));
            break;
        case 3:
            bytes = http(line("GET", "/work/" + id), headers, "");
            break;
        case 4:
            bytes = http(line("POST", "/work/" + id + "/cancel"), headers, "");
            break;
        default:
            bytes = http(line(draw(2) == 0 ? "GET" : "PUT", "/healthz"), headers, "");
            break;
    }
    return {malformation, broken(bytes, draw(4) == 0 ? malformation : Malformation::none)};
}

MalformedMessage MalformedMessages::peer_frame() {
    const auto malformation = draw_malformation();
    wire::peer::Request request;
    request.op = static_cast<wire::peer::Op>(2 + draw(6));
    request.term = 0;  // a newer term would be believed, as from another controller
    request.id = "job-x";
    if (request.op == wire::peer::Op::heartbeat)
        request.body = malformed_cbor(*wire::parse_cbor(heartbeat("n-peer", agent_)), malformation);
    if (malformation == Malformation::too_long) request.id = std::string(1 + draw(65'000), 'a');
    if (malformation == Malformation::not_utf8) request.id = "caf\xe9";
    if (malformation == Malformation::random_bytes && draw(2) == 0)
        return {malformation, draw_bytes(1 + draw(300))};
    auto bytes = wire::peer::pack(request);
    if (malformation == Malformation::out_of_range) bytes[4 + draw(4)] = '\xff';  // the length
    if (malformation == Malformation::random_bytes) bytes[draw(8)] = static_cast<char>(draw(256));
    if (malformation == Malformation::cut_off) bytes.resize(draw(bytes.size()));
    return {malformation, bytes};
}

MalformedMessage MalformedMessages::response(const std::string& request) {
    const auto malformation = draw_malformation();
    const auto body = malformed_cbor(response_to(request, agent_), malformation);
    const std::vector<std::string> statuses{"200", "200", "200", "404",
                                            "409", "400", "503", "2000"};
    auto line = "HTTP/1.1 " + statuses[draw(statuses.size())];
    line +=
        malformation == Malformation::too_long ? " " + std::string(1 + draw(20'000), 'a') : " OK";
    return {malformation, broken(http(line, malformed_headers(malformation), body),
                                 draw(4) == 0 ? malformation : Malformation::none)};
}

}  // namespace bendspindle::standin
