// Tests that the compiler translates the ways in which this project awaits under a condition. The forms that
// some compilers translate wrongly are found by tools/check_coroutines.py; see docs/DESIGN.md, "Coroutines".
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

namespace asio = boost::asio;

namespace {

using Result = std::variant<int, std::string>;

/// Counts the operands that were evaluated.
struct Operands {
    asio::awaitable<bool> flag(bool value)
    {
        ++this->evaluated;
        co_return value;
    }

    asio::awaitable<Result> text()
    {
        ++this->evaluated;
        co_return std::string(100, 'x');
    }

    asio::awaitable<bool> afterEarlyReturn(bool condition)
    {
        if (!condition)
            co_return false;
        co_return co_await this->flag(true);
    }

    asio::awaitable<bool> intoVariable(bool condition)
    {
        bool isWanted = condition;
        if (isWanted)
            isWanted = co_await this->flag(true);
        co_return isWanted;
    }

    asio::awaitable<bool> inBlock(bool condition)
    {
        if (condition) {
            bool isSet = co_await this->flag(true);
            if (!isSet)
                co_return false;
        }
        co_return condition;
    }

    asio::awaitable<bool> asLoop(bool condition)
    {
        int rounds = 0;
        while (condition) {
            ++rounds;
            condition = co_await this->flag(false);
        }
        co_return rounds == 1;
    }

    asio::awaitable<bool> asBranches(bool condition)
    {
        Result result;
        if (condition)
            result = co_await this->text();
        else
            result = Result { std::string(100, 'y') };
        co_return std::get<std::string>(result).front() == 'x';
    }

    asio::awaitable<bool> asLeftOperand(bool condition)
    {
        bool isSet = condition;
        if (isSet)
            isSet = co_await this->flag(condition) && condition;
        co_return isSet;
    }

    int evaluated = 0;
};

using Form = asio::awaitable<bool> (Operands::*)(bool);

const std::vector<Form> Forms { &Operands::afterEarlyReturn, &Operands::intoVariable, &Operands::inBlock,
    &Operands::asLoop, &Operands::asBranches, &Operands::asLeftOperand };

} // namespace

BOOST_AUTO_TEST_SUITE(CoroutineFormsTest)

// Guards against a compiler that evaluates what is awaited under a condition that does not hold.
BOOST_DATA_TEST_CASE(awaitsOnlyIfTheConditionHolds, boost::unit_test::data::xrange(std::size_t { 6 }), number)
{
    for (bool condition : { true, false }) {
        Operands operands;
        asio::io_context context;
        bool result = !condition;
        asio::co_spawn(context, (operands.*Forms[number])(condition),
            [&](std::exception_ptr, bool value) { result = value; });
        context.run();
        BOOST_TEST(result == condition);
        BOOST_TEST(operands.evaluated == (condition ? 1 : 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()
