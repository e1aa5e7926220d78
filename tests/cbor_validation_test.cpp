// Which CBOR is accepted from other processes.
#include "wire/cbor_validation.hpp"

#include <gtest/gtest.h>

#include <string>

#include "wire/cbor.hpp"
#include "wire/job_spec.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::wire {
namespace {

using namespace std::string_literals;

struct CborCase {
    const char* name;
    std::string bytes;
    bool valid;
};

class CborValidation : public testing::TestWithParam<CborCase> {};

const CborCase cases[] = {
    {"Map", "\xa1\x61k\x01", true},
    {"IndefiniteMap", "\xbf\x61k\x01\xff", true},
    {"IndefiniteList", "\x9f\x01\x02\xff", true},
    {"IndefiniteText", "\x7f\x61j\x62ob\xff", true},
    {"NestedLists", "\x82\x81\x01\x82\x02\x03", true},
    {"Numbers",
     "\x85\x18\xff\x39\x01\x00\xfa\x3f\x80\x00\x00\xf9\x3c\x00\x3b\x00\x00\x00\x00\x00\x00\x00\x01"s,
     true},
    {"Simple", "\x83\xf4\xf5\xf6", true},
    {"Utf8", "\x66\xc3\xa9\xf0\x9f\x98\x80", true},
    {"RepeatedNames", "\xa2\x61k\x01\x61k\x02", true},
    {"Empty", "", false},
    {"TwoValues", "\x01\x02", false},
    {"CutOffNumber", "\x19\x01", false},
    {"CutOffText",
     "\x63"
     "ab",
     false},
    {"CutOffMap", "\xa2\x61k\x01", false},
    {"CutOffIndefiniteMap", "\xbf\x61k\x01", false},
    {"BreakWithoutContainer", "\xff", false},
    {"BreakInDefiniteList", "\x82\x01\xff", false},
    {"BreakBeforeValue", "\xbf\x61k\xff", false},
    {"KeyIsNoText", "\xa1\x01\x01", false},
    {"Bytes",
     "\x41"
     "a",
     false},
    {"IndefiniteBytes",
     "\x5f\x41"
     "a\xff",
     false},
    {"Tag", "\xc1\x01", false},
    {"Undefined", "\xf7", false},
    {"ReservedInfo", "\x1c", false},
    {"IndefiniteNumber", "\x1f", false},
    {"HalfNaN", "\xf9\x7e\x00"s, true},
    {"FloatInfinity", "\xfa\x7f\x80\x00\x00"s, true},
    {"DoubleInfinity", "\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00"s, true},
    {"ManyDeclaredItems", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", false},
    {"ManyDeclaredPairs", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff", false},
    {"LongDeclaredText", "\x7b\xff\xff\xff\xff\xff\xff\xff\xff", false},
    {"Latin1",
     "\x64"
     "caf\xe9",
     false},
    {"BrokenUtf8", "\x63\xf0\x28\x8c", false},
    {"Surrogate", "\x63\xed\xa0\x80", false},
    {"OverlongUtf8", "\x62\xc0\xaf", false},
    {"BrokenUtf8AfterLongAscii", "\x78\x21" + std::string(32, 'a') + "\xe9", false},
    {"BrokenUtf8InName", "\xa1\x61\xe9\x01", false},
    {"BrokenUtf8Nested", "\xa1\x61k\x81\x61\xe9", false},
    {"CodepointAcrossChunks", "\x7f\x61\xc3\x61\xa9\xff", false},
    {"NestedTextChunkOfText", "\x7f\x7f" + std::string(31, 'a') + "\xff", false},
    {"NestedTextChunks",
     "\x7f\x7f\x61"
     "a\xff\xff",
     false},
};

TEST_P(CborValidation, AcceptsOnlyTheProtocolsValues) {
    EXPECT_EQ(is_valid_cbor(GetParam().bytes), GetParam().valid);
    EXPECT_EQ(parse_cbor(GetParam().bytes).has_value(), GetParam().valid);
}

INSTANTIATE_TEST_SUITE_P(Cases, CborValidation, testing::ValuesIn(cases),
                         [](const auto& info) { return info.param.name; });

// Guards against a stack overflow by nested strings of indefinite length, which ended controllers.
TEST(CborValidation, NestedStringsDoNotOverflowTheStack) {
    for (const char opening : {'\x7f', '\x5f', '\x81', '\x9f', '\xbf', '\xc1'})
        EXPECT_FALSE(parse_cbor(std::string(max_request_bytes, opening))) << int{opening};
    EXPECT_FALSE(parse_cbor("\xa1" + std::string(max_request_bytes, '\x7f')));
    std::string closed(1 + 32 * 2000, '\x7f');
    closed.push_back('\xff');
    EXPECT_FALSE(parse_cbor(closed));
    EXPECT_FALSE(parse_cbor("\xa1\x61k" + std::string(max_request_bytes, '\x7f')));
}

TEST(CborValidation, AcceptsWhatIsWritten) {
    core::JobSpec spec;
    spec.id = "job-1";
    spec.image = "img-caf\xc3\xa9";
    EXPECT_TRUE(is_valid_cbor(job_body(spec)));
    EXPECT_EQ(parse_job(job_body(spec)).job->image, spec.image);
}

}  // namespace
}  // namespace bendspindle::wire
