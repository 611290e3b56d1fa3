// Runs one case: cases NAME DIRECTORY. TROUBLE=0 in the environment leaves out the disruption.
// Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#include "World.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";

Json
Manifest(bool aKeyed)
{
  const Json desk{ { "name", "desk" },        { "healthCheckPath", "/health" },
                   { "maxConnections", 130 }, { "protocol", "h1" },
                   { "tls", false },          { "coldStartS", 3.0 },
                   { "coldPerS", 14.0 },      { "sharded", aKeyed },
                   { "warmupS", 2.0 },        { "grants", "heartbeat" } };
  const Json route{ { "name", "r-1" },          { "host", "shop.example" },
                    { "pathPrefix", "/look/" }, { "kind", "safe" },
                    { "timeoutMs", 1000 },      { "targetLatencyMs", 400 },
                    { "priority", 2 },          { "service", "desk" },
                    { "maxAttempts", 2 },       { "allowAnonymous", false } };
  const Json limits{ { "maxHeaderBytes", 16384 },
                     { "maxBodyBytes", 67108864 },
                     { "headerTimeoutMs", 3000 },
                     { "idleTimeoutMs", 15000 } };
  const Json tenant{ { "name", "t-1" },
                     { "apiKeys", { kKey } },
                     { "priority", 1 },
                     { "ratePerS", 500 },
                     { "burstSize", 500 } };
  return { { "version", "r7" },
           { "routes", { route } },
           { "services", { desk } },
           { "limits", limits },
           { "tenants", { tenant } } };
}

/// Sends safe requests for random keys to the instances in turn until it goes away.
class Requesters
{
public:
  Requesters(World& aWorld,
             std::vector<std::size_t> aIngresses,
             std::chrono::milliseconds aPause = 20ms,
             unsigned aSeed = 1)
    : thread_([this, &aWorld, ingresses = std::move(aIngresses), aPause, aSeed] {
      std::mt19937 random(aSeed);
      auto next = Clock::now();
      for (std::size_t i = 0; !stopped_; ++i) {
        const std::string key = std::to_string(random() % 65536);
        aWorld.Request(ingresses[i % ingresses.size()],
                       "GET",
                       "/look/" + key,
                       {},
                       { { "X-Key", kKey }, { "X-Shard-Key", key } },
                       1000);
        next += aPause;
        std::this_thread::sleep_until(next);
      }
    })
  {
  }
  ~Requesters()
  {
    stopped_ = true;
    thread_.join();
  }
  Requesters(const Requesters&) = delete;
  Requesters& operator=(const Requesters&) = delete;

private:
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

WorldSettings
ThreeDesks(const std::string& aDirectory)
{
  return { { "desk", "desk", "desk" }, "desk", Manifest(true), aDirectory };
}

/// A backend server leaves with DELETE; the process beside it is killed and started again.
int
LeaveThenKill(const std::string& aDirectory, bool aTrouble)
{
  World world(ThreeDesks(aDirectory));
  if (!world.AwaitStart()) {
    return kCannotRun;
  }
  constexpr std::size_t kLeaving = 2;
  Backend& leaving = world.Server(kLeaving);
  double overlap = 0;
  {
    const Requesters requesters(world, { 0, 1 });
    std::this_thread::sleep_for(4s);
    OverlapWatch watch(world, { 0, 1, 2 });
    leaving.BeatNow();
    leaving.StopBeats();
    if (!leaving.SendDelete()) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(200ms);
    if (aTrouble) {
      world.KillInstance(kLeaving);
      std::this_thread::sleep_for(500ms);
      world.StartInstance(kLeaving);
    }
    // The server goes on for drainTimeoutMs and some seconds.
    std::this_thread::sleep_for(8s);
    leaving.Exit();
    std::this_thread::sleep_for(1s);
    overlap = watch.Longest();
  }
  world.Log().Write("longest time with two holders of a key: " + std::to_string(overlap) + " s");
  return overlap > 0.5 ? kBroken : kHeld;
}

/// A heartbeat of another writer, in which fields are missing, reaches the process beside a server.
int
ForeignHeartbeat(const std::string& aDirectory, bool aTrouble)
{
  World world(ThreeDesks(aDirectory));
  if (!world.AwaitStart()) {
    return kCannotRun;
  }
  constexpr std::size_t kHit = 2;
  double overlap = 0;
  {
    const Requesters requesters(world, { 0, 1 });
    std::this_thread::sleep_for(4s);
    OverlapWatch watch(world, { 0, 1, 2 });
    if (aTrouble) {
      const Backend& server = world.Server(kHit);
      const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
      // No zone, no version, no cold time and no lists of keys.
      const Json beat{ { "service", "desk" }, { "address", server.Settings().address_.ToString() },
                       { "slots", 9 },        { "state", "draining" },
                       { "born", now },       { "seq", 1 } };
      const auto reply = redwing::bench::Call(
        world.Heartbeats(kHit), "PUT", "/-/instances/i-77", beat.dump(), {}, 1000);
      world.Log().Write("a heartbeat without zone, version and lists of keys is answered " +
                        std::to_string(reply.status_));
    }
    std::this_thread::sleep_for(8s);
    overlap = watch.Longest();
  }
  world.Log().Write("longest time with two holders of a key: " + std::to_string(overlap) + " s");
  return overlap > 0.5 ? kBroken : kHeld;
}

/// Requesters name each action in an Idempotency-Key header; some answers of one server are
/// failures.
int
RepeatedAction(const std::string& aDirectory, bool aTrouble)
{
  World world({ std::vector<std::string>(8, "desk"), "desk", Manifest(true), aDirectory });
  if (!world.AwaitStart()) {
    return kCannotRun;
  }
  // srv_grey: 0.14 of the servers, here one of eight, fail 0.45 of their requests for 6.5 s.
  std::mt19937 random(1);
  const auto begin = Clock::now() + 2s;
  world.Server(1).SetReaction([&](const redwing::standins::HttpExchangePtr& aExchange) {
    const bool grey = aTrouble && Clock::now() > begin && Clock::now() < begin + 6500ms;
    if (!grey || random() % 100 >= 45) {
      return false;
    }
    const std::string id(aExchange->Request().Header("X-Request-Id"));
    aExchange->Respond({ 500,
                         "ran " + id + " at i-2, and failed\n",
                         "text/plain",
                         { { "X-Request-Id", id }, { "X-Server-Signature", "i-2." + id } } });
    return true;
  });
  int retries = 0;
  int foreign = 0;
  for (int action = 1; Clock::now() < begin + 8s; ++action) {
    const std::string key = std::to_string(random() % 65536);
    const std::string path = "/look/" + key;
    const std::vector<redwing::standins::HttpHeader> headers{
      { "X-Key", kKey },
      { "X-Shard-Key", key },
      { "Idempotency-Key", "action-" + std::to_string(action) }
    };
    std::string id;
    const auto first = world.Request(0, "GET", path, {}, headers, 1000);
    if (first.status_ >= 500) {
      ++retries;
      const auto second = world.Request(1, "GET", path, {}, headers, 800, &id);
      const bool signedByServer = second.body_.starts_with("ran ");
      if (signedByServer && second.body_.find(id) == std::string::npos) {
        ++foreign;
        world.Log().Write("the answer to " + id + " is that of another request");
      }
    }
    std::this_thread::sleep_for(20ms);
  }
  world.Log().Write("retries: " + std::to_string(retries) +
                    ", answered with the answer of another request: " + std::to_string(foreign));
  return foreign > 0 ? kBroken : kHeld;
}

/// A request that crashes the servers that run it comes again, eight times at four machines.
int
CrashingRequest(const std::string& aDirectory, bool aTrouble)
{
  World world({ std::vector<std::string>(4, "desk"), "", Manifest(false), aDirectory });
  if (!world.AwaitStart()) {
    return kCannotRun;
  }
  std::mutex mutex;
  std::vector<double> crashes;
  for (std::size_t i = 0; i < world.Size(); ++i) {
    Backend& server = world.Server(i);
    server.SetReaction([&, aTrouble](const redwing::standins::HttpExchangePtr& aExchange) {
      if (!aTrouble || aExchange->Request().path_ != "/look/crashes") {
        return false;
      }
      std::lock_guard lock(mutex);
      crashes.push_back(world.Log().Now());
      server.Crash(2500ms);
      return true;
    });
  }
  std::this_thread::sleep_for(4s);
  for (int round = 0; round < 6; ++round) {
    std::vector<std::thread> copies;
    const auto start = Clock::now() + 20ms;
    // Two requesters that repeat three more times, at once.
    for (std::size_t i = 0; i < 8; ++i) {
      copies.emplace_back([&world, i, start] {
        std::this_thread::sleep_until(start);
        world.Request(i % world.Size(), "GET", "/look/crashes", {}, { { "X-Key", kKey } }, 1000);
      });
    }
    for (std::thread& copy : copies) {
      copy.join();
    }
    std::this_thread::sleep_for(6s);
  }
  // contactTimeoutMs after the third crash
  std::lock_guard lock(mutex);
  const double from = crashes.size() < 3 ? 1e9 : crashes[2] + 3;
  const auto late =
    std::count_if(crashes.begin(), crashes.end(), [from](double aTime) { return aTime > from; });
  world.Log().Write("crashes: " + std::to_string(crashes.size()) +
                    "; later than 3 s after the third: " + std::to_string(late));
  return late > 3 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: cases NAME DIRECTORY\n";
    return kCannotRun;
  }
  const std::string name = aArguments[1];
  const std::string directory = aArguments[2];
  const char* trouble = std::getenv("TROUBLE");
  const bool troubled = trouble == nullptr || std::string(trouble) != "0";
  try {
    if (name == "leave-then-kill") {
      return LeaveThenKill(directory, troubled);
    }
    if (name == "foreign-heartbeat") {
      return ForeignHeartbeat(directory, troubled);
    }
    if (name == "crashing-request") {
      return CrashingRequest(directory, troubled);
    }
    if (name == "repeated-action") {
      return RepeatedAction(directory, troubled);
    }
  } catch (const std::exception& error) {
    std::cerr << "cases: " << error.what() << "\n";
    return kCannotRun;
  }
  std::cerr << "cases: there is no case " << name << "\n";
  return kCannotRun;
}
