#define BOOST_TEST_MODULE redwing
#include <boost/test/unit_test.hpp>
