#define BOOST_TEST_MODULE redwing
#include <boost/test/unit_test.hpp>
#include <ctime>

namespace {

/// Reads the time zone before threads start: the first log line does so otherwise, under a lock of
/// the C library that the thread sanitizer does not see.
struct TimeZone
{
  TimeZone() { tzset(); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(TimeZone);
