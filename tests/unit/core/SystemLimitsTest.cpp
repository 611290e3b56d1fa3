#include "core/SystemLimits.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace redwing;

BOOST_AUTO_TEST_SUITE(LimitsOfTheSystem)

// Guards against a process that does not know the limits it runs under.
BOOST_AUTO_TEST_CASE(ReadsTheLimitsOfTheProcess)
{
  constexpr rlim_t kDescriptors = 512;
  rlimit files{};
  BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &files) == 0);
  const rlimit fewFiles{ kDescriptors, files.rlim_max };
  BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &fewFiles) == 0);
  const SystemLimits limits = SystemLimits::OfThisProcess();
  BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &files) == 0);
  BOOST_TEST(limits.descriptors_ == kDescriptors);
  BOOST_TEST(limits.memoryBytes_ > 0U);
}

// Guards against the limit of a control group that is overlooked, or read where there is none.
BOOST_AUTO_TEST_CASE(ReadsTheMemoryOfTheControlGroup)
{
  const std::string mount =
    (std::filesystem::temp_directory_path() / ("redwing-groups-" + std::to_string(::getpid())))
      .string();
  std::filesystem::create_directories(mount + "/system/desk");
  std::filesystem::create_directories(mount + "/open");
  std::ofstream(mount + "/system/desk/memory.max") << "134217728\n";
  std::ofstream(mount + "/open/memory.max") << "max\n";
  BOOST_TEST(ControlGroupMemory("0::/system/desk\n", mount) == 134217728U);
  BOOST_TEST(ControlGroupMemory("4:memory:/a\n0::/system/desk\n", mount) == 134217728U);
  BOOST_TEST(ControlGroupMemory("0::/open\n", mount) == 0U);
  BOOST_TEST(ControlGroupMemory("0::/absent\n", mount) == 0U);
  BOOST_TEST(ControlGroupMemory("", mount) == 0U);
  std::filesystem::remove_all(mount);
}

BOOST_AUTO_TEST_SUITE_END()
