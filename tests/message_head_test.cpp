// What the reader of HTTP heads accepts, refuses and passes on.
#include "io/message_head.hpp"

#include <gtest/gtest.h>

#include <string>

namespace bendspindle::io {
namespace {

struct HeadCase {
    const char* name;
    MessageKind kind;
    std::string bytes;
    HeadStatus status;
    std::string reduced;  // of a complete head
};

class MessageHead : public testing::TestWithParam<HeadCase> {};

std::string repeat(const std::string& text, int times) {
    std::string out;
    for (int i = 0; i < times; ++i) out += text;
    return out;
}

constexpr auto request = MessageKind::request;
constexpr auto response = MessageKind::response;
const std::string get = "GET / HTTP/1.1\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n";

const HeadCase cases[] = {
    {"Plain", request, get + "\r\n", HeadStatus::complete, get + "Content-Length: 0\r\n\r\n"},
    {"BodyIsNotTaken", request, get + "Content-Length: 3\r\n\r\nabc", HeadStatus::complete,
     get + "Content-Length: 3\r\n\r\n"},
    {"UnknownHeadersAreDropped", request,
     get + "Host: x\r\nRange: bytes=0-1\r\nContent-Type: multipart/form-data\r\n"
           "Content-Encoding: gzip\r\nAccept-Encoding: gzip\r\n\r\n",
     HeadStatus::complete, get + "Content-Length: 0\r\n\r\n"},
    {"NamesIgnoreCase", request, get + "content-length: 3 \r\nCONNECTION: Close\r\n\r\n",
     HeadStatus::complete, get + "Content-Length: 3\r\nConnection: close\r\n\r\n"},
    {"ListOfConnectionOptions", request, get + "Connection: TE,, keep-alive\r\n\r\n",
     HeadStatus::complete, get + "Content-Length: 0\r\nConnection: Keep-Alive\r\n\r\n"},
    {"Chunked", request, get + "Transfer-Encoding: Chunked\r\nExpect: 100-continue\r\n\r\n",
     HeadStatus::complete, get + "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"},
    {"Unfinished", request, get + "Content-Length: 3\r\n", HeadStatus::incomplete, ""},
    {"EmptyStartLine", request, "\r\n", HeadStatus::malformed, ""},
    {"LineFeedOnly", request, "GET / HTTP/1.1\n", HeadStatus::malformed, ""},
    {"Zero", request, std::string("GET /\0 HTTP/1.1\r\n", 17), HeadStatus::malformed, ""},
    {"NoColon", request, get + "Content-Length\r\n", HeadStatus::malformed, ""},
    {"NoName", request, get + ": 3\r\n", HeadStatus::malformed, ""},
    {"SpaceInName", request, get + "Content-Length : 3\r\n", HeadStatus::malformed, ""},
    {"FoldedHeader", request, get + "A: b\r\n c\r\n", HeadStatus::malformed, ""},
    {"TwoLengths", request, get + "Content-Length: 3\r\nContent-Length: 3\r\n",
     HeadStatus::malformed, ""},
    {"LengthAndEncoding", request, get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
     HeadStatus::malformed, ""},
    {"NegativeLength", request, get + "Content-Length: -3\r\n", HeadStatus::malformed, ""},
    {"LengthOfWords", request, get + "Content-Length: three\r\n", HeadStatus::malformed, ""},
    {"LengthOutOfRange", request, get + "Content-Length: 99999999999999999999\r\n",
     HeadStatus::malformed, ""},
    {"UnknownEncoding", request, get + "Transfer-Encoding: gzip\r\n", HeadStatus::malformed, ""},
    {"LongStartLine", request, "GET /" + std::string(8000, 'a'), HeadStatus::start_line_too_long,
     ""},
    {"LongHeader", request, get + "A: " + std::string(17'000, 'a'), HeadStatus::headers_too_large,
     ""},
    {"LongHeadersTogether", request, get + repeat("A: " + std::string(500, 'a') + "\r\n", 40),
     HeadStatus::headers_too_large, ""},
    {"ManyHeaders", request, get + repeat("A: b\r\n", 101), HeadStatus::headers_too_large, ""},
    {"Response", response, ok + "Content-Length: 3\r\n\r\n", HeadStatus::complete,
     "HTTP/1.1 200\r\nContent-Length: 3\r\n\r\n"},
    {"ResponseWithoutReason", response, "HTTP/1.0 404\r\n\r\n", HeadStatus::complete,
     "HTTP/1.0 404\r\n\r\n"},
    {"LongReason", response, "HTTP/1.1 200 " + std::string(7000, 'a') + "\r\n\r\n",
     HeadStatus::complete, "HTTP/1.1 200\r\n\r\n"},
    {"ReasonTooLong", response, "HTTP/1.1 200 " + std::string(8000, 'a'),
     HeadStatus::start_line_too_long, ""},
    {"OtherProtocol", response, "SSH-2.0-x\r\n", HeadStatus::malformed, ""},
    {"StatusOfWords", response, "HTTP/1.1 abc\r\n", HeadStatus::malformed, ""},
    {"LongStatus", response, "HTTP/1.1 2000\r\n", HeadStatus::malformed, ""},
};

TEST_P(MessageHead, IsReducedOrRefused) {
    MessageHeadReader reader(GetParam().kind);
    const auto taken = reader.feed(GetParam().bytes);
    EXPECT_LE(taken, GetParam().bytes.size());
    ASSERT_EQ(reader.status(), GetParam().status);
    if (reader.status() == HeadStatus::complete) {
        EXPECT_EQ(reader.reduced_head(), GetParam().reduced);
    }
}

TEST_P(MessageHead, IsTheSameByteByByte) {
    MessageHeadReader reader(GetParam().kind);
    for (const char byte : GetParam().bytes)
        if (reader.status() == HeadStatus::incomplete) reader.feed({&byte, 1});
    ASSERT_EQ(reader.status(), GetParam().status);
    if (reader.status() == HeadStatus::complete) {
        EXPECT_EQ(reader.reduced_head(), GetParam().reduced);
    }
}

INSTANTIATE_TEST_SUITE_P(Heads, MessageHead, testing::ValuesIn(cases),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bendspindle::io
