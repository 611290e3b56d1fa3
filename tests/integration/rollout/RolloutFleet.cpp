#include "RolloutFleet.hpp"

#include <csignal>
#include <random>

namespace redwing::test {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr const char* kService = "desk";
constexpr const char* kTargetVersion = "v2";
constexpr int kCallers = 6;
/// 180 requests a second in all.
constexpr milliseconds kCallInterval{ 33 };
constexpr milliseconds kColdTime{ 1000 };
constexpr milliseconds kStatusPoll{ 5 };
/// Load before the order.
constexpr milliseconds kCalm{ 2000 };
/// The servers of the target version start a moment after the order.
constexpr milliseconds kStartDelay{ 300 };
/// Longest time by which a failure, and the recovery from it, delay the end of a rollout.
constexpr milliseconds kFailureTime{ 17'000 };
/// The servers of a version that was rolled back drain this long after it.
constexpr milliseconds kDrainDelay{ 2000 };

Json
Manifest(bool aKeyed)
{
  Json service{ { "name", kService },     { "healthCheckPath", "/health" },
                { "maxConnections", 80 }, { "protocol", "h1" },
                { "tls", false },         { "coldStartS", 1.0 },
                { "coldPerS", 100.0 } };
  if (aKeyed) {
    service.update({ { "sharded", true }, { "warmupS", 0.1 }, { "grants", "heartbeat" } });
  }
  Json routes = Json::array();
  for (const std::string path : { "find", "list" }) {
    routes.push_back({ { "name", path },
                       { "host", "shop.example" },
                       { "pathPrefix", "/" + path + "/" },
                       { "kind", "safe" },
                       { "timeoutMs", 1500 },
                       { "targetLatencyMs", 1000 },
                       { "priority", 1 },
                       { "service", kService },
                       { "maxAttempts", 2 },
                       { "allowAnonymous", true } });
  }
  return { { "version", "r1" },
           { "routes", std::move(routes) },
           { "services", Json::array({ service }) },
           { "limits", { { "maxHeaderBytes", 16384 } } } };
}

} // namespace

RolloutPlan
DrawRollout(std::uint64_t aSeed)
{
  constexpr std::uint64_t kKinds = 8;
  std::mt19937_64 random(aSeed);
  const auto between = [&](double aLow, double aHigh) {
    return std::uniform_real_distribution(aLow, aHigh)(random);
  };
  RolloutPlan plan;
  plan.seed_ = aSeed;
  plan.duration_ = milliseconds(static_cast<int>(between(12'000, 15'000)));
  plan.fault_.rate_ = between(0.3, 0.6);
  constexpr std::uint64_t kFailures = 5;
  plan.failure_ = static_cast<Failure>((aSeed - 1) / kKinds % kFailures);
  switch ((aSeed - 1) % kKinds) {
    case 0:
      plan.name_ = "good";
      break;
    case 1:
      plan.name_ = "bad";
      plan.fault_.fault_ = Fault::Fails;
      break;
    case 2:
      plan.name_ = "keyed-bad";
      plan.fault_.fault_ = Fault::Fails;
      plan.keyed_ = true;
      break;
    case 3:
      plan.name_ = "bad-later";
      plan.fault_.fault_ = Fault::Fails;
      plan.fault_.from_ = milliseconds(static_cast<int>(between(1000, 3000)));
      break;
    case 4:
      plan.name_ = "slow";
      plan.fault_.fault_ = Fault::Slow;
      plan.fault_.slowness_ = static_cast<int>(between(4, 7));
      break;
    case 5:
      plan.name_ = "bad-route";
      plan.fault_.fault_ = Fault::FailsOnRoute;
      break;
    case 6:
      plan.name_ = "bad-under-load";
      plan.fault_.fault_ = Fault::FailsUnderLoad;
      break;
    default:
      plan.name_ = "keyed-good";
      plan.keyed_ = true;
      break;
  }
  if (plan.failure_ == Failure::None) {
    return plan;
  }
  constexpr std::array<const char*, kFailures> kNames{
    "", "-leader-killed", "-target-stopped", "-store-down", "-all-killed"
  };
  plan.name_ += kNames.at(static_cast<std::size_t>(plan.failure_));
  plan.duration_ += 6s;
  // From the canary to the closing; a bad version is rolled back from 3 s after its order on.
  const double last = plan.Bad() ? 2000 : 0.9 * static_cast<double>(plan.duration_.count());
  plan.failureAt_ = milliseconds(static_cast<int>(between(500, last)));
  plan.failureFor_ = plan.failure_ == Failure::StoreDown       ? 9000ms
                     : plan.failure_ == Failure::TargetStopped ? 3000ms
                                                               : 500ms;
  return plan;
}

RolloutFleet::RolloutFleet(RolloutPlan aPlan)
  : plan_(std::move(aPlan))
  , keyed_(kOld + kTarget)
{
  fleet_ = std::make_unique<PlatformFleet>(Settings());
  fleet_->OnStore([this](standins::PlatformStore& aStore) {
    aStore.SetPageItems(500);
    for (int i = 0; i < kOld + kTarget; ++i) {
      versions_.push_back(std::make_unique<ServedVersion>(
        log_, IsTarget(i), IsTarget(i) ? plan_.fault_ : FaultPlan{}, plan_.seed_ * 100 + i));
    }
    pooled_.resize(kOld + kTarget);
  });
  StartServers(false);
  for (int i = 0; i < kCallers; ++i) {
    callers_.emplace_back([this, i] { SendRequests(i); });
  }
}

RolloutFleet::~RolloutFleet()
{
  stopped_ = true;
  for (std::thread& caller : callers_) {
    caller.join();
  }
  EndServers(false);
  EndServers(true);
  fleet_->OnStore([this](auto&) {
    watch_.reset();
    pooled_.clear();
  });
  keyed_.clear();
  fleet_.reset();
}

PlatformFleetSettings
RolloutFleet::Settings()
{
  PlatformFleetSettings settings;
  settings.name_ = "rollout";
  settings.manifest_ = Manifest(plan_.keyed_);
  settings.service_ = kService;
  settings.slots_ = 8;
  settings.serverPorts_.assign(kOld + kTarget, 0);
  settings.serverState_ = [this](int aInstance) { return StateOf(aInstance); };
  settings.rollouts_ = true;
  return settings;
}

std::optional<ServerState>
RolloutFleet::StateOf(int aInstance)
{
  if (plan_.keyed_ || !up_[aInstance]) {
    return std::nullopt;
  }
  ServerState state;
  state.id_ = "server-" + std::to_string(aInstance);
  state.state_ = draining_ && IsTarget(aInstance) ? "draining" : "ready";
  state.version_ = IsTarget(aInstance) ? kTargetVersion : "v1";
  const auto age = steady_clock::now() - startedAt_[aInstance].load();
  if (IsTarget(aInstance) && age < kColdTime) {
    state.coldFor_ = std::chrono::duration_cast<milliseconds>(kColdTime - age);
  }
  return state;
}

void
RolloutFleet::StartServers(bool aTarget)
{
  for (int i = 0; i < kOld + kTarget; ++i) {
    if (IsTarget(i) != aTarget) {
      continue;
    }
    plan_.keyed_ ? StartKeyed(i) : StartPooled(i);
    startedAt_[i] = steady_clock::now();
    up_[i] = true;
  }
}

void
RolloutFleet::StartPooled(int aInstance)
{
  fleet_->OnStore([&](auto&) {
    const auto answer = [this, aInstance](const standins::HttpExchangePtr& aExchange) {
      const auto& request = aExchange->Request();
      if (request.Header("X-Expected-Instance") != "server-" + std::to_string(aInstance)) {
        log_.OnMisdirected();
      }
      standins::HttpResponse response;
      response.headers_ = { { "X-Request-Id", std::string(request.Header("X-Request-Id")) },
                            { "X-Server-Signature", "s" } };
      const ServerReply reply = versions_[aInstance]->Begin(request.path_, true);
      response.status_ = reply.status_;
      const auto timer =
        std::make_shared<boost::asio::steady_timer>(fleet_->Context(), reply.work_);
      timer->async_wait([this, timer, aExchange, aInstance, reply, response](const auto&) {
        versions_[aInstance]->End(reply);
        aExchange->Respond(response);
      });
    };
    pooled_[aInstance] = std::make_unique<standins::HttpServer>(
      fleet_->Context(), fleet_->ServerAt(aInstance), answer);
    pooled_[aInstance]->Listen();
  });
}

void
RolloutFleet::StartKeyed(int aInstance)
{
  KeyedServerSettings settings;
  settings.id_ = "server-" + std::to_string(aInstance);
  settings.service_ = kService;
  settings.address_ = fleet_->ServerAt(aInstance);
  settings.heartbeats_ = fleet_->Heartbeats(aInstance);
  settings.interval_ = 300ms;
  settings.version_ = IsTarget(aInstance) ? kTargetVersion : "v1";
  settings.begin_ = [this, aInstance](const standins::HttpRequest& aRequest, bool aRuns) {
    if (aRequest.Header("X-Expected-Instance") != "server-" + std::to_string(aInstance)) {
      log_.OnMisdirected();
    }
    return versions_[aInstance]->Begin(aRequest.path_, aRuns);
  };
  settings.end_ = [this, aInstance](const ServerReply& aReply) {
    versions_[aInstance]->End(aReply);
  };
  keyed_[aInstance] = std::make_unique<KeyedServer>(fleet_->Context(), std::move(settings), judge_);
}

void
RolloutFleet::EndServers(bool aTarget)
{
  for (int i = 0; i < kOld + kTarget; ++i) {
    if (IsTarget(i) != aTarget) {
      continue;
    }
    up_[i] = false;
    if (keyed_[i]) {
      keyed_[i]->End();
    }
    fleet_->OnStore([&](auto&) {
      if (pooled_[i]) {
        pooled_[i]->Close();
      }
    });
  }
}

void
RolloutFleet::DrainTargets()
{
  draining_ = true;
  for (int i = kOld; i < kOld + kTarget; ++i) {
    if (keyed_[i]) {
      keyed_[i]->Drain();
    }
  }
}

void
RolloutFleet::WatchStatus()
{
  watch_->expires_after(kStatusPoll);
  watch_->async_wait([this](const boost::system::error_code& aError) {
    // The wait may have ended before the timer went away.
    if (aError || !watch_) {
      return;
    }
    const auto* found = store_->Data().Get(std::string("status/rollout/") + kService);
    const Json status = found ? Json::parse(found->value_, nullptr, false) : Json();
    if (status.is_object() && status.value("targetVersion", "") == kTargetVersion) {
      log_.OnState(status.value("state", ""), steady_clock::now());
    }
    WatchStatus();
  });
}

void
RolloutFleet::Run()
{
  std::this_thread::sleep_for(kCalm);
  const auto ordered = steady_clock::now();
  const auto end = ordered + plan_.duration_ + 1s;
  fleet_->OnStore([&](standins::PlatformStore& aStore) {
    log_.OnOrder(steady_clock::now(), plan_.duration_);
    const Json order{ { "service", kService },
                      { "targetVersion", kTargetVersion },
                      { "durationS", std::chrono::duration<double>(plan_.duration_).count() } };
    aStore.Put(std::string("op/rollout/") + kService, order.dump());
    store_ = &aStore;
    watch_ = std::make_unique<boost::asio::steady_timer>(fleet_->Context());
    WatchStatus();
  });
  std::this_thread::sleep_for(kStartDelay);
  StartServers(true);
  RunUntil(ordered, plan_.failure_ == Failure::None ? end : end + kFailureTime);
  if (log_.State() == "completed") {
    EndServers(false);
  } else if (log_.State() == "rolled_back") {
    std::this_thread::sleep_for(kDrainDelay);
    DrainTargets();
  }
  std::this_thread::sleep_until(end);
  BOOST_TEST_MESSAGE("seed " << plan_.seed_ << " " << plan_.name_ << ": " << log_.Summary()
                             << ", callers " << served_ << " served, " << failed_ << " failed");
}

int
RolloutFleet::Leader() const
{
  for (int i = 0; i < fleet_->Size(); ++i) {
    const auto reply = bench::Call(fleet_->Metrics(i), "GET", "/rollouts", {}, {}, 500);
    const Json status = Json::parse(reply.body_, nullptr, false);
    if (status.is_object() && status.value("leads", false)) {
      return i;
    }
  }
  return -1;
}

void
RolloutFleet::BeginFailure()
{
  switch (plan_.failure_) {
    case Failure::None:
      break;
    case Failure::LeaderKilled:
      affected_ = { Leader() };
      BOOST_REQUIRE_MESSAGE(affected_.front() >= 0, "no instance leads");
      fleet_->Instance(affected_.front()).Signal(SIGKILL);
      break;
    case Failure::TargetStopped:
      affected_ = { kOld };
      fleet_->Instance(kOld).Signal(SIGSTOP);
      break;
    case Failure::StoreDown:
      fleet_->OnStore([](auto& aStore) { aStore.SetTrouble(standins::StoreTrouble::Reset); });
      break;
    case Failure::AllKilled:
      for (int i = 0; i < fleet_->Size(); ++i) {
        affected_.push_back(i);
        fleet_->Instance(i).Signal(SIGKILL);
      }
      break;
  }
}

void
RolloutFleet::EndFailure()
{
  if (plan_.failure_ == Failure::StoreDown) {
    fleet_->OnStore([](auto& aStore) { aStore.SetTrouble(standins::StoreTrouble::None); });
  }
  for (const int instance : affected_) {
    if (plan_.failure_ == Failure::TargetStopped) {
      fleet_->Instance(instance).Signal(SIGCONT);
      judge_.OnResumed("server-" + std::to_string(instance), steady_clock::now());
    } else {
      fleet_->Start(instance);
    }
  }
}

void
RolloutFleet::RunUntil(LogTime aOrdered, LogTime aEnd)
{
  const LogTime from = aOrdered + plan_.failureAt_;
  const LogTime until = from + plan_.failureFor_;
  bool begun = plan_.failure_ == Failure::None;
  bool over = begun;
  const auto ended = [this] {
    const std::string state = log_.State();
    return state == "completed" || state == "rolled_back";
  };
  // A failure that has begun lasts to its end.
  while ((!ended() || begun != over) && steady_clock::now() < aEnd) {
    if (!begun && steady_clock::now() >= from) {
      begun = true;
      log_.OnFailure(plan_.failureFor_);
      BeginFailure();
    } else if (begun && !over && steady_clock::now() >= until) {
      over = true;
      EndFailure();
    }
    std::this_thread::sleep_for(1ms);
  }
  BOOST_CHECK_MESSAGE(begun, "the rollout ended before the failure began");
}

bool
RolloutFleet::Serves()
{
  constexpr int kAttempts = 50;
  for (int i = 0; i < kAttempts; ++i) {
    if (SendRequest(kCallers, i)) {
      return true;
    }
    std::this_thread::sleep_for(100ms);
  }
  return false;
}

void
RolloutFleet::SendRequests(int aCaller)
{
  auto next = steady_clock::now() + kCallInterval * aCaller / kCallers;
  for (int i = 0; !stopped_; ++i) {
    std::this_thread::sleep_until(next);
    // Late calls are not made up for.
    next = std::max(next + kCallInterval, steady_clock::now());
    (SendRequest(aCaller, i) ? served_ : failed_) += 1;
  }
}

bool
RolloutFleet::SendRequest(int aCaller, int aNumber)
{
  const std::string id = std::to_string(aCaller) + "-" + std::to_string(aNumber);
  const std::string key = std::to_string((aNumber * 7919 + aCaller * 104729) % 65536);
  return bench::Call(fleet_->Callers(aCaller % fleet_->Size()),
                     "GET",
                     (aNumber % 3 == 0 ? "/list/" : "/find/") + id,
                     {},
                     { { "Host", "shop.example" },
                       { "X-Request-Id", id },
                       { "X-Deadline-Ms", "1500" },
                       { "X-Shard-Key", key } },
                     1700)
    .Ok();
}

} // namespace redwing::test
