#include "tests/integration/crowd/Crowd.hpp"
#include "tests/integration/PlatformFleet.hpp"
#include "tests/integration/crowd/CrowdServer.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

using namespace redwing;
using namespace redwing::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

/// Crowds of callers that respect no limit, against one instance on a machine with little memory.
/// The bounds are the limits in the settings: the resident memory stays below the memory of the
/// machine, and sockets and pipes below its descriptors without those reserved for files.
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kReservedForFiles = 200;
/// The crowd is held for this long, which is longer than the time limits of heads.
constexpr auto kCrowdTime = 6s;

struct Machine
{
  std::size_t memoryMb_ = 64;
  std::size_t descriptors_ = 500;
  std::size_t maxBodyBytes_ = kMegabyte;
};

Json
Manifest(const Machine& aMachine)
{
  Json routes = Json::array();
  for (const char* name : { "small", "store", "large" }) {
    const bool large = name == std::string("large");
    routes.push_back({ { "name", name },
                       { "host", "desk.example" },
                       { "pathPrefix", std::string("/") + name + "/" },
                       { "kind", large ? "download" : "upload" },
                       { "timeoutMs", 20000 },
                       { "priority", 1 },
                       { "service", "desk" },
                       { "maxAttempts", 2 },
                       { "allowAnonymous", true } });
  }
  return {
    { "version", "r1" },
    { "routes", routes },
    { "services",
      Json::array(
        { { { "name", "desk" }, { "healthCheckPath", "/health" }, { "maxConnections", 200 } } }) },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", aMachine.maxBodyBytes_ },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } }
  };
}

struct Site
{
  explicit Site(Machine aMachine = {})
    : machine_(aMachine)
  {
    PlatformFleetSettings settings;
    settings.name_ = "crowd";
    settings.manifest_ = Manifest(machine_);
    settings.service_ = "desk";
    settings.slots_ = 100;
    settings.limits_ = { { "memoryMb", machine_.memoryMb_ },
                         { "fileDescriptors", machine_.descriptors_ } };
    settings.serverPorts_.push_back(server_.Port());
    settings.serverState_ = [](int) { return ServerState{ "i-0" }; };
    fleet_.emplace(std::move(settings));
    BOOST_REQUIRE(OrdinaryRequestIsAnswered());
  }

  std::string Head(const std::string& aPath, const std::string& aFraming) const
  {
    return "POST " + aPath + " HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 20000\r\n" +
           aFraming + "\r\n\r\n";
  }

  bench::CallResult Post(const std::string& aPath, const std::string& aBody, int aLimitMs) const
  {
    return bench::Call(fleet_->Callers(0),
                       "POST",
                       aPath,
                       aBody,
                       { { "Host", "desk.example" }, { "X-Deadline-Ms", "20000" } },
                       aLimitMs);
  }

  /// An ordinary caller repeats its request while it is refused.
  bool OrdinaryRequestIsAnswered() const
  {
    const auto limit = std::chrono::steady_clock::now() + 30s;
    while (std::chrono::steady_clock::now() < limit) {
      if (Post("/small/a", "hello", 2000).Ok()) {
        return true;
      }
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  /// Peak of the resident memory in bytes; 0 if the process is gone.
  std::size_t PeakMemory() const
  {
    std::ifstream status("/proc/" + std::to_string(fleet_->Instance(0).Id()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
      }
    }
    return 0;
  }

  std::size_t SocketsAndPipes() const
  {
    std::error_code error;
    std::size_t count = 0;
    const auto folder = "/proc/" + std::to_string(fleet_->Instance(0).Id()) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
      const auto target = std::filesystem::read_symlink(entry.path(), error).string();
      count += target.starts_with("socket:") || target.starts_with("pipe:") ? 1U : 0U;
    }
    return count;
  }

  /// Holds a crowd for kCrowdTime, asks for an ordinary request while it stands and another one
  /// after it has left, and checks the bounds.
  void Withstand(std::size_t aCallers, const CallerPlan& aPlan)
  {
    std::size_t sockets = 0;
    {
      const Crowd crowd(fleet_->Callers(0), aCallers, aPlan);
      const auto end = std::chrono::steady_clock::now() + kCrowdTime;
      while (std::chrono::steady_clock::now() < end) {
        sockets = std::max(sockets, SocketsAndPipes());
        std::this_thread::sleep_for(20ms);
      }
      BOOST_TEST(OrdinaryRequestIsAnswered());
    }
    BOOST_TEST(fleet_->Instance(0).Running());
    BOOST_TEST(OrdinaryRequestIsAnswered());
    const std::size_t peak = PeakMemory();
    BOOST_TEST_MESSAGE("peak memory " << peak / 1024 << " KiB, sockets and pipes " << sockets);
    BOOST_TEST(peak > 0U);
    BOOST_TEST(peak < machine_.memoryMb_ * kMegabyte);
    BOOST_TEST(sockets < machine_.descriptors_ - kReservedForFiles);
  }

  Machine machine_;
  CrowdServer server_;
  std::optional<PlatformFleet> fleet_;
};

/// Legal, and larger than what is buffered before a request is passed on.
constexpr std::size_t kLegalBody = 900 * 1024;
constexpr std::size_t kCallers = 200;

std::string
Length(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Crowds, Site)

// Guards against legal bodies that together exceed the memory of the machine.
BOOST_AUTO_TEST_CASE(ManyLegalBodiesAtOnce)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody });
}

// Guards against the same bodies when all of them grow slowly and together.
BOOST_AUTO_TEST_CASE(ManyLegalBodiesPieceByPiece)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody, 16 * 1024, 50ms });
}

// Guards against bodies that are held because their last byte never comes: large ones, which are
// passed on before their end, and ones that are held whole.
BOOST_AUTO_TEST_CASE(ManyBodiesThatStopShort)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody - 1 });
  constexpr std::size_t kHeldWhole = 600 * 1024;
  Withstand(kCallers, { Head("/store/a", Length(kHeldWhole)), kHeldWhole - 1 });
}

// Guards against bodies over the limit whose head states their length.
BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimitAnnounced)
{
  Withstand(kCallers, { Head("/store/a", Length(kMegabyte * 1024)), 16 * kMegabyte });
  const auto result = Post("/store/a", std::string(2 * kMegabyte, 'x'), 5000);
  BOOST_TEST((result.status_ == 413 || result.status_ == 0));
}

// Guards against bodies over the limit that are sent without a stated length.
BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimitJustSent)
{
  CallerPlan plan{ Head("/store/a", "Transfer-Encoding: chunked"), 16 * kMegabyte };
  plan.filler_ = "8000\r\n" + std::string(32 * 1024, 'x') + "\r\n";
  plan.pieceBytes_ = plan.filler_.size();
  Withstand(kCallers, plan);
}

// Guards against large responses that are held for callers that do not read them and ask for more.
BOOST_AUTO_TEST_CASE(SlowReadersOfLargeResponses)
{
  const std::string request =
    "GET /large/a HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 20000\r\n\r\n";
  CallerPlan plan{ request + request + request + request };
  plan.reads_ = false;
  Withstand(kCallers, plan);
}

// Guards against connections that take all descriptors and never send a byte.
BOOST_AUTO_TEST_CASE(ConnectionsWithoutAByte)
{
  Withstand(machine_.descriptors_, {});
}

// Guards against heads that never end and keep their connections by one more line each moment.
BOOST_AUTO_TEST_CASE(HeadersWithoutEnd)
{
  CallerPlan plan{ "GET /small/a HTTP/1.1\r\nHost: desk.example\r\n", kMegabyte, 64, 100ms };
  plan.filler_ = "X-More: " + std::string(54, 'x') + "\r\n";
  Withstand(machine_.descriptors_, plan);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against limits that refuse a request that is legal: one body of the largest size, without
// any other load, on the smallest machine.
BOOST_AUTO_TEST_CASE(ASingleLegalRequestOnTheSmallestMachine)
{
  constexpr std::size_t kLargestBody = 67'108'864;
  const Site site({ 160, 4100, kLargestBody });
  BOOST_TEST(site.Post("/store/a", std::string(kLargestBody, 'x'), 20000).status_ == 200U);
  BOOST_TEST(site.PeakMemory() < site.machine_.memoryMb_ * kMegabyte);
}
