#define BOOST_TEST_MODULE redwing
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <ctime>

namespace {

/// Fixes the time zone before threads start. Without TZ the C library reads the zone again for each
/// log line, under a lock that the thread sanitizer does not see.
struct TimeZone
{
  TimeZone()
  {
    setenv("TZ", "UTC", 1);
    tzset();
  }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(TimeZone);
