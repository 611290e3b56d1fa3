// The backend servers of a keyed service are released again and again; then all machines lose power
// and one zone of two comes back.

#include "Stage.hpp"

#include <csignal>

using namespace stage;

namespace {

constexpr int kMachines = 6;
/// The last machine is the only one of zone b.
constexpr int kLeft = kMachines - 1;
constexpr int kKeys = 65536;
constexpr milliseconds kTimeBudget{ 1000 };
/// Time between two replacements, and how long they go on.
constexpr milliseconds kGap{ 1000 };
constexpr std::chrono::seconds kReleases{ 74 };
/// A leaving server goes on for the drain time and a little longer.
constexpr milliseconds kDrains{ 2200 };
constexpr milliseconds kCold{ 3000 };
constexpr milliseconds kDown{ 1000 };
constexpr std::chrono::seconds kRecovery{ 15 };
constexpr std::chrono::seconds kMeasured{ 4 };

/// A machine: an instance and the backend server beside it.
class Machine
{
public:
  Machine(int aHost, Store& aStore, Record& aRecord)
    : host_(aHost)
    , zone_(aHost == kLeft ? "b" : "a")
    , record_(aRecord)
    , instance_(aHost, SettingsOf(aHost, zone_, "desk", At(), aStore.At()), TemporaryFolder())
  {
    instance_.Start();
    StartServer(milliseconds(0));
  }

  ~Machine() { StopServer(); }

  /// Replaces the server by another one, without a break for its clients.
  void Release()
  {
    std::lock_guard lock(mutex_);
    beats_.reset();
    backend_->SetState("draining");
    const bool confirmed = backend_->Beat(instance_.Heartbeats(), true);
    record_.Line(backend_->Id() + " says draining: " + (confirmed ? "confirmed" : "not confirmed"));
    beats_.emplace(*backend_, instance_.Heartbeats(), true);
    std::this_thread::sleep_for(kDrains);
    beats_.reset();
    backend_->Leave(instance_.Heartbeats());
    StopServer();
    StartServer(kCold);
  }

  /// Loses power.
  void PowerOff()
  {
    std::lock_guard lock(mutex_);
    instance_.Signal(SIGKILL);
    instance_.Wait();
    beats_.reset();
    StopServer();
  }

  void PowerOn()
  {
    std::lock_guard lock(mutex_);
    instance_.Start();
    StartServer(kCold);
  }

  Instance& Process() { return instance_; }
  std::size_t LargestReply() const { return backend_->LargestReply(); }

private:
  Address At() const { return { Ip(host_), 24700 }; }

  void StartServer(milliseconds aCold)
  {
    retired_.push_back(std::move(backend_));
    backend_ = std::make_unique<Backend>(
      "i-" + std::to_string(host_) + "-" + std::to_string(++starts_), "desk", zone_, At(), 9);
    backend_->SetCold(aCold);
    server_ = std::make_unique<HttpServer>(
      At(), [this, backend = backend_.get()](const Request& aRequest) -> std::optional<Response> {
        return Serve(aRequest, *backend);
      });
    beats_.emplace(*backend_, instance_.Heartbeats(), true);
  }

  void StopServer()
  {
    beats_.reset();
    server_.reset();
  }

  std::optional<Response> Serve(const Request& aRequest, Backend& aBackend)
  {
    const std::string id = aRequest.headers_.Get("X-Request-Id");
    const int key = std::stoi("0" + aRequest.headers_.Get("X-Shard-Key"));
    if (aRequest.headers_.Get("X-Expected-Instance") != aBackend.Id() || !aBackend.Begin(key)) {
      return Response{ 421, { { "X-Request-Id", id }, { "X-Not-Executed", "1" } }, {} };
    }
    std::this_thread::sleep_for(
      milliseconds(10 + static_cast<int>(std::hash<std::string>{}(id) % 300)));
    aBackend.End(key);
    record_.Line(id + " runs at " + aBackend.Id());
    return Served(aRequest, aBackend);
  }

  int host_;
  std::string zone_;
  Record& record_;
  int starts_ = 0;
  std::mutex mutex_;
  Instance instance_;
  std::unique_ptr<Backend> backend_;
  /// Kept until the end, for requests that are still at work.
  std::vector<std::unique_ptr<Backend>> retired_;
  std::unique_ptr<HttpServer> server_;
  std::optional<Beats> beats_;
};

/// Requests of one machine's requesters, one in three of them for a few busy keys.
class Requesters
{
public:
  Requesters(const Address& aTo, Record& aRecord)
  {
    for (int i = 0; i < 16; ++i) {
      threads_.emplace_back([this, aTo, &aRecord, i] {
        std::uint32_t drawn = 12345U + static_cast<std::uint32_t>(i);
        for (int number = 1; !stopped_; ++number) {
          drawn = drawn * 1664525U + 1013904223U;
          const std::uint32_t key = (drawn >> 8U) % (drawn >> 28U < 5 ? 2000 : kKeys);
          Request request = SafeRequest(
            "q" + std::to_string(i) + "-" + std::to_string(number), "/desk/1", kTimeBudget);
          request.headers_.emplace_back("X-Shard-Key", std::to_string(key));
          ++sent_;
          served_ += Ask(aTo, request, kTimeBudget, aRecord).status_ == 200 ? 1 : 0;
          std::this_thread::sleep_for(milliseconds(20));
        }
      });
    }
  }

  ~Requesters()
  {
    stopped_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  /// Returns how many requests were sent and served in aTime from now.
  std::pair<int, int> Count(milliseconds aTime)
  {
    const int sent = sent_;
    const int served = served_;
    std::this_thread::sleep_for(aTime);
    return { sent_ - sent, served_ - served };
  }

private:
  std::atomic<bool> stopped_{ false };
  std::atomic<int> sent_{ 0 };
  std::atomic<int> served_{ 0 };
  std::vector<std::thread> threads_;
};

std::string
Share(const std::pair<int, int>& aCount)
{
  return std::to_string(aCount.second) + " of " + std::to_string(aCount.first) + " requests";
}

int
Play(Record& aRecord)
{
  const char* const without = std::getenv("RELEASES");
  const bool releases = without == nullptr || std::string(without) != "0";
  Store store({ Ip(20), 24500 });
  Json manifest = Manifest(true, kTimeBudget);
  store.Put("op/config", manifest.dump());
  std::vector<std::unique_ptr<Machine>> machines;
  for (int i = 0; i < kMachines; ++i) {
    machines.push_back(std::make_unique<Machine>(i, store, aRecord));
  }
  for (auto& machine : machines) {
    if (!machine->Process().AwaitReady(milliseconds(10000))) {
      aRecord.Line("an instance did not get ready");
      return 2;
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));
  Requesters requesters(machines[kLeft]->Process().Callers(), aRecord);
  const auto end = SteadyClock::now() + kReleases;
  std::vector<std::thread> releasing;
  for (int turn = 0; releases && SteadyClock::now() < end; ++turn) {
    releasing.emplace_back([&, turn] { machines[turn % kMachines]->Release(); });
    std::this_thread::sleep_for(kGap);
  }
  for (auto& thread : releasing) {
    thread.join();
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const Json table = Json::parse(store.Get("redwing/shards/desk"));
  aRecord.Line("after " + std::to_string(releasing.size()) + " replacements the keys lie in " +
               std::to_string(table["runs"].size()) + " ranges");
  const auto before = requesters.Count(kMeasured);
  aRecord.Line("served before the final fault: " + Share(before));
  manifest["version"] = "r8";
  store.Put("op/config", manifest.dump());
  if (!Calm()) {
    aRecord.Line("all machines lose power; that of zone b comes back");
    std::vector<std::thread> off;
    for (auto& machine : machines) {
      off.emplace_back([&machine] { machine->PowerOff(); });
    }
    for (auto& thread : off) {
      thread.join();
    }
    std::this_thread::sleep_for(kDown);
    machines[kLeft]->PowerOn();
  }
  std::this_thread::sleep_for(kRecovery);
  const auto after = requesters.Count(kMeasured);
  aRecord.Line("served later than recoveryS after it: " + Share(after));
  aRecord.Line("largest reply to a heartbeat of the server that is back: " +
               std::to_string(machines[kLeft]->LargestReply()) + " bytes");
  if (before.second * 4 < before.first) {
    return 2;
  }
  return after.second * 4 < after.first ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
