// Tests of the fake engine's answer function, with which tests check that an answer is complete.
#include "../engine/answer.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade::standins;

BOOST_AUTO_TEST_SUITE(answer)

BOOST_AUTO_TEST_CASE(resumed_answer_goes_on_with_the_same_pieces)
{
    std::string prompt = "meter reading of June";
    std::string complete = completeAnswer(prompt, 30);
    for (std::uint32_t sent = 0; sent < 30; ++sent) {
        std::string resumed = prompt + complete.substr(0, sent * PieceBytes);
        BOOST_TEST(originalPrompt(resumed, sent) == prompt);
        BOOST_TEST(answerPiece(originalPrompt(resumed, sent), sent)
            == complete.substr(sent * PieceBytes, PieceBytes));
    }
}

BOOST_AUTO_TEST_CASE(marker_sets_the_length)
{
    BOOST_TEST(answerLength("x !!length 7!! y") == 7U);
    BOOST_TEST(completeAnswer("x !!length 7!! y", 100).size() == 7 * PieceBytes);
    BOOST_TEST(completeAnswer("x !!length 7!! y", 3).size() == 3 * PieceBytes);
}

BOOST_AUTO_TEST_SUITE_END()
