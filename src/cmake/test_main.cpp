// Entry point of every unit test program; Boost.Test finds the cases by itself.
#define BOOST_TEST_MODULE peridotgrade
#include <boost/test/unit_test.hpp>
