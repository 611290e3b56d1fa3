#include "tests/integration/crowd/CrowdSite.hpp"
#include "tests/integration/crowd/DaemonSite.hpp"

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace redwing::test;

/// Settings that state no limits. The memory is bounded by the documented default, the descriptors
/// by the limit of the process.
namespace {

constexpr std::size_t kDefaultMemoryMb = 256;
constexpr std::size_t kDescriptors = 1000;
constexpr std::size_t kManyCallers = 2 * kCallers;
/// Ends a process that takes far more than the default, before it takes the memory of this machine.
constexpr std::size_t kMostMemoryKb = 1024 * 1024;

constexpr std::size_t kLargestBody = 67'108'864;

/// A script that runs a program with lowered limits.
class LimitedProgram
{
public:
  explicit LimitedProgram(const std::string& aProgram)
    : path_((std::filesystem::temp_directory_path() /
             ("redwing-limited-" + std::to_string(::getpid()) + "-" +
              std::filesystem::path(aProgram).filename().string()))
              .string())
  {
    std::ofstream(path_) << "#!/bin/sh\nulimit -n " << kDescriptors << "\nulimit -d "
                         << kMostMemoryKb << "\nexec " << aProgram << " \"$@\"\n";
    std::filesystem::permissions(path_, std::filesystem::perms::owner_all);
  }
  ~LimitedProgram() { std::filesystem::remove(path_); }
  LimitedProgram(const LimitedProgram&) = delete;
  LimitedProgram& operator=(const LimitedProgram&) = delete;

  const std::string& Path() const { return path_; }

private:
  std::string path_;
};

constexpr Machine kDefaultMachine{ kDefaultMemoryMb, kDescriptors, kMegabyte };

struct PlatformInstances
{
  LimitedProgram program_{ REDWINGD_PLATFORM };
  CrowdSite site_{ SiteSettings{ kDefaultMachine, 1, false, program_.Path() } };
};

struct Daemons
{
  LimitedProgram program_{ REDWINGD };
  DaemonSite site_{ kDefaultMachine, program_.Path() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UnstatedLimitsOnThePlatform, PlatformInstances)

// Guards against instances without a bound because their settings name none.
BOOST_AUTO_TEST_CASE(BodiesThatStopShort)
{
  site_.Withstand(kManyCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody - 1 });
}

BOOST_AUTO_TEST_CASE(BodiesInChunks)
{
  site_.Withstand(kManyCallers, ChunkedBody("/store/a", kLegalBody, kLargeChunk));
  site_.Withstand(kManyCallers, ChunkedBody("/store/a", kLegalBody, kSmallChunk));
}

BOOST_AUTO_TEST_CASE(ConnectionsWithoutAByte)
{
  site_.Withstand(kDescriptors, {});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UnstatedLimitsOfDaemons, Daemons)

BOOST_AUTO_TEST_CASE(BodiesThatStopShort)
{
  site_.Withstand(kManyCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody - 1 });
}

// Guards against chunks of one byte that become a message each, on a link and between threads.
BOOST_AUTO_TEST_CASE(BodiesInChunks)
{
  site_.Withstand(kManyCallers, ChunkedBody("/store/a", kLegalBody, kLargeChunk));
  site_.Withstand(kManyCallers, ChunkedBody("/store/a", kLegalBody, kSmallChunk));
}

BOOST_AUTO_TEST_CASE(BodiesForAServerThatDoesNotRead)
{
  site_.Withstand(kManyCallers, { Head("/stuck/a", Length(kLegalBody)), kLegalBody - 1 });
  site_.Withstand(kManyCallers, ChunkedBody("/stuck/a", kLegalBody, kSmallChunk));
}

BOOST_AUTO_TEST_CASE(SlowReadersOfLargeResponses)
{
  site_.Withstand(kManyCallers, SlowReader("/large/a"));
}

BOOST_AUTO_TEST_CASE(ConnectionsWithoutAByte)
{
  site_.Withstand(kDescriptors, {});
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against defaults that refuse a legal request: one body of the largest size in calm.
BOOST_AUTO_TEST_CASE(ASingleLegalRequestWithoutStatedLimits)
{
  const LimitedProgram platform(REDWINGD_PLATFORM);
  const Machine machine{ kDefaultMemoryMb, kDescriptors, kLargestBody };
  const CrowdSite site(SiteSettings{ machine, 1, false, platform.Path() });
  BOOST_TEST(site.Post("/store/a", std::string(kLargestBody, 'x'), 20000).status_ == 200U);
  const LimitedProgram daemon(REDWINGD);
  const DaemonSite daemons(machine, daemon.Path());
  BOOST_TEST(daemons.Post(kLargestBody, 20000) == 200U);
}
