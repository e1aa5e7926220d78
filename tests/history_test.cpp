// The check of histories, on histories made by hand.
#include "standin/history.hpp"

#include <gtest/gtest.h>

namespace bendspindle::standin {
namespace {

Answer::Clock::time_point at(int ms) {
    return Answer::Clock::time_point{std::chrono::hours(1)} + std::chrono::milliseconds(ms);
}

class Histories : public testing::Test {
  protected:
    void tell(int begin, int end, Told told, const std::string& job = "job-1") {
        history_.add({job, 0, at(begin), at(end), told});
    }
    History history_;
};

TEST_F(Histories, AJobThatGoesOnIsInOrder) {
    tell(0, 5, Told::unknown);
    tell(6, 10, Told::open);
    tell(11, 12, Told::open);
    tell(13, 14, Told::done);
    tell(15, 16, Told::done);
    EXPECT_TRUE(history_.breaches().empty());
    EXPECT_EQ(history_.overtaken(), 0U);
    EXPECT_EQ(history_.size(), 5U);
    EXPECT_EQ(history_.count(Told::open), 2U);
    EXPECT_TRUE(history_.over("job-1"));
    EXPECT_FALSE(history_.over("job-2"));
}

TEST_F(Histories, AnOlderAnswerThatBeginsLaterIsABreach) {
    tell(0, 5, Told::done);
    tell(6, 7, Told::open);
    ASSERT_EQ(history_.breaches().size(), 1U);
    tell(8, 9, Told::unknown);
    EXPECT_EQ(history_.breaches().size(), 2U);
}

TEST_F(Histories, AnAcceptedJobIsNeverUnknown) {
    tell(0, 5, Told::open);
    tell(6, 7, Told::unknown);
    EXPECT_EQ(history_.breaches().size(), 1U);
}

TEST_F(Histories, AnswersThatOverlapMayComeInAnyOrder) {
    tell(0, 10, Told::open);
    tell(2, 5, Told::done);
    tell(5, 12, Told::open);  // begun as the other ended
    EXPECT_TRUE(history_.breaches().empty());
    EXPECT_EQ(history_.overtaken(), 2U);
}

// The long answer that ends last must not hide the short one before it.
TEST_F(Histories, TheOrderOfEndsDecidesNotThatOfBegins) {
    tell(0, 100, Told::open);
    tell(10, 20, Told::done);
    tell(30, 40, Told::open);
    EXPECT_EQ(history_.breaches().size(), 1U);
}

TEST_F(Histories, FinalStatesNeverChange) {
    history_.asked_to_cancel("job-1", at(0));
    tell(0, 10, Told::done);
    tell(0, 11, Told::cancelled);  // also where they overlap
    EXPECT_EQ(history_.breaches().size(), 1U);
}

TEST_F(Histories, NobodyIsCancelledUnasked) {
    tell(0, 10, Told::cancelled);
    EXPECT_EQ(history_.breaches().size(), 1U);
    history_.asked_to_cancel("job-1", at(11));
    EXPECT_EQ(history_.breaches().size(), 1U) << "asked only after it was told";
    history_.asked_to_cancel("job-1", at(5));
    EXPECT_TRUE(history_.breaches().empty());
}

TEST_F(Histories, JobsAndSilencesAreApart) {
    tell(0, 1, Told::done);
    tell(2, 3, Told::open, "job-2");
    tell(4, 5, Told::no_state);
    EXPECT_TRUE(history_.breaches().empty());
    EXPECT_EQ(history_.size(), 2U);
}

}  // namespace
}  // namespace bendspindle::standin
