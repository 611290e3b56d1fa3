// The backends of a sharded service are replaced one after the other while requests run.

#include "KeyedServer.hpp"

#include <random>

namespace {

using namespace review;

constexpr milliseconds kDrainTimeout{ 2000 };

struct Machine
{
  int number_ = 0;
  std::shared_ptr<KeyedServer> server_;
};

class Play
{
public:
  Play(Record& aRecord, int aServers)
    : record_(aRecord)
    , deployment_(Settings())
  {
    for (int i = 0; i < aServers; ++i) {
      Add();
    }
  }

  void Add()
  {
    Machine machine{ next_++, nullptr };
    deployment_.Start(machine.number_, "desk");
    KeyedServerSettings settings;
    settings.id_ = "i-" + std::to_string(machine.number_);
    settings.service_ = "desk";
    settings.address_ = Deployment::Application(machine.number_);
    settings.heartbeats_ = Deployment::ControlPlane(machine.number_);
    settings.work_ = [this] {
      return milliseconds(std::uniform_int_distribution<int>(300, 900)(random_));
    };
    machine.server_ = std::make_shared<KeyedServer>(deployment_.Io(), std::move(settings), record_);
    std::lock_guard lock(mutex_);
    machines_.push_back(machine);
  }

  Deployment& Deployed() { return deployment_; }

  std::vector<Machine> Machines()
  {
    std::lock_guard lock(mutex_);
    return machines_;
  }

  std::uint32_t Held()
  {
    std::uint32_t held = 0;
    for (const Machine& machine : Machines()) {
      held += machine.server_->HeldKeys();
    }
    return held;
  }

  /// Drains the oldest server, removes it and stops the process beside it.
  void RemoveOldest()
  {
    Machine machine;
    {
      std::lock_guard lock(mutex_);
      machine = machines_.front();
      machines_.erase(machines_.begin());
    }
    tasks_.push_back(std::async(std::launch::async, [this, machine] {
      const bool acknowledged = machine.server_->Drain(kDrainTimeout, 6000ms);
      record_.Add("server " + machine.server_->Id() + " has left, " +
                  (acknowledged ? "acknowledged" : "not acknowledged"));
      if (Process* process = deployment_.Of(machine.number_)) {
        process->Signal(SIGTERM);
        if (!process->Wait(6000ms)) {
          process->Signal(SIGKILL);
        }
      }
    }));
  }

  /// Kills all processes at once and starts them again; returns whether all are ready in time.
  bool RestartAll()
  {
    for (const Machine& machine : Machines()) {
      deployment_.Of(machine.number_)->Signal(SIGKILL);
    }
    std::this_thread::sleep_for(500ms);
    for (const Machine& machine : Machines()) {
      deployment_.Start(machine.number_, "desk");
    }
    for (const Machine& machine : Machines()) {
      if (!Deployment::AwaitReady(machine.number_, 8000ms)) {
        return false;
      }
    }
    return true;
  }

  void Serve(int aCallers)
  {
    for (int i = 0; i < aCallers; ++i) {
      callers_.emplace_back([this, i] { Ask(i); });
    }
  }

  void Stop()
  {
    stopped_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    for (auto& task : tasks_) {
      task.wait();
    }
  }

  struct Count
  {
    std::size_t sent_ = 0;
    std::size_t served_ = 0;
  };

  Count Between(milliseconds aFrom, milliseconds aTo)
  {
    std::lock_guard lock(mutex_);
    Count count;
    for (const auto& [at, status] : answers_) {
      if (at >= aFrom && at < aTo) {
        ++count.sent_;
        count.served_ += status == 200 ? 1 : 0;
      }
    }
    return count;
  }

private:
  static DeploymentSettings Settings()
  {
    DeploymentSettings settings;
    settings.name_ = "releases";
    settings.manifest_ = ServiceManifest("desk", true);
    return settings;
  }

  /// A third of the requests are for a few neighbouring keys, and which ones changes.
  std::uint32_t KeyOf(std::mt19937& aRandom) const
  {
    constexpr std::uint32_t kBusyKeys = 200;
    constexpr std::uint32_t kPrime = 7919;
    constexpr milliseconds kBusyTime{ 10000 };
    const auto period = static_cast<std::uint32_t>(record_.Now() / kBusyTime);
    return aRandom() % 3 == 0 ? (period * kPrime + aRandom() % kBusyKeys) % kKeys
                              : aRandom() % kKeys;
  }

  void Ask(int aCaller)
  {
    std::mt19937 random(aCaller + 1);
    for (int i = 0; !stopped_; ++i) {
      const std::vector<Machine> machines = Machines();
      const Machine& machine = machines[random() % machines.size()];
      const std::string key = std::to_string(KeyOf(random));
      const std::string id = std::to_string(aCaller) + "-" + std::to_string(i);
      const auto at = record_.Now();
      const Answer answer = Call(Deployment::Outbound(machine.number_),
                                 "GET",
                                 "/look/" + key,
                                 {},
                                 { { "Host", "desk.example" },
                                   { "X-Request-Id", id },
                                   { "X-Deadline-Ms", "2500" },
                                   { "X-Shard-Key", key } },
                                 2600ms);
      {
        std::lock_guard lock(mutex_);
        answers_.emplace_back(at, answer.status_);
      }
      record_.Add("request " + id + " key " + key + " sent at " + std::to_string(at.count()) +
                  " to machine " + std::to_string(machine.number_) + ": " +
                  std::to_string(answer.status_));
      if (answer.status_ != 200) {
        std::this_thread::sleep_for(200ms);
      }
    }
  }

  Record& record_;
  Deployment deployment_;
  std::mutex mutex_;
  std::vector<Machine> machines_;
  int next_ = 0;
  std::mt19937 random_{ 1 };
  std::vector<std::thread> callers_;
  std::vector<std::future<void>> tasks_;
  std::vector<std::pair<milliseconds, unsigned>> answers_;
  std::atomic<bool> stopped_{ false };
};

constexpr milliseconds kLongestPlay{ 72000 };
constexpr milliseconds kQuietPlay{ 30000 };
constexpr milliseconds kReleaseGap{ 2000 };
/// recoveryS of the settings.
constexpr milliseconds kRecovery{ 15000 };
constexpr milliseconds kJudged{ 8000 };

void
Report(Record& aRecord, Play& aPlay, const std::string& aWhat, Play::Count aCount)
{
  std::string line = aWhat + ": served " + std::to_string(aCount.served_) + " of " +
                     std::to_string(aCount.sent_) + "; keys held " + std::to_string(aPlay.Held()) +
                     " of " + std::to_string(kKeys) + "; rows/bytes of the last answers";
  for (const Machine& machine : aPlay.Machines()) {
    line += " " + machine.server_->Id() + ":" +
            std::to_string(machine.server_->RowsOfLastAnswer()) + "/" +
            std::to_string(machine.server_->BytesOfLastAnswer());
  }
  aRecord.Add(line, true);
}

bool
LessThanAQuarter(Play::Count aCount)
{
  return aCount.served_ * 4 < aCount.sent_;
}

/// Replaces backends one after the other until hardly a request is served or the time is over.
void
Release(Record& aRecord, Play& aPlay)
{
  while (aRecord.Now() < kLongestPlay) {
    aPlay.Add();
    std::this_thread::sleep_for(kReleaseGap / 2);
    aPlay.RemoveOldest();
    std::this_thread::sleep_for(kReleaseGap / 2);
    Report(aRecord, aPlay, "release", aPlay.Between(aRecord.Now() - kReleaseGap, aRecord.Now()));
    constexpr milliseconds kSpan{ 6000 };
    if (LessThanAQuarter(aPlay.Between(aRecord.Now() - kSpan, aRecord.Now() - kReleaseGap))) {
      return;
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kServers = 3;
  constexpr int kCallers = 36;
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Play play(record, kServers);
  const auto start = Clock::now();
  while (play.Held() != kKeys) {
    if (Since(start) > 15000ms) {
      record.Add("the keys were not held at the start", true);
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(50ms);
  }
  play.Serve(kCallers);
  std::this_thread::sleep_for(2000ms);
  if (Troubled()) {
    Release(record, play);
  } else {
    std::this_thread::sleep_for(kQuietPlay);
  }
  // The last one that leaves is given its time, then one backend more is emptied and taken away.
  std::this_thread::sleep_for(3000ms);
  Report(record, play, "before the scale-in", play.Between(record.Now() - 3000ms, record.Now()));
  play.RemoveOldest();
  std::this_thread::sleep_for(5000ms);
  const auto fault = record.Now();
  const auto before = play.Between(0ms, fault);
  Report(record, play, "before the final fault", before);
  Report(record, play, "the 3 s before it", play.Between(fault - 3000ms, fault));
  if (!play.RestartAll()) {
    record.Add("the processes did not come back", true);
    return kCouldNotRun;
  }
  const auto back = record.Now();
  record.Add("all processes were killed and are back", true);
  std::this_thread::sleep_for(kRecovery + kJudged);
  const auto after = play.Between(back + kRecovery, back + kRecovery + kJudged - 3000ms);
  Report(record, play, "later than 15 s after the machines were back", after);
  play.Stop();
  if (after.sent_ == 0 || LessThanAQuarter(before)) {
    record.Add("nothing can be said", true);
    return kCouldNotRun;
  }
  const bool broken = LessThanAQuarter(after);
  record.Add(broken ? "RECOVER is broken" : "RECOVER holds", true);
  return broken ? kBroken : 0;
}
