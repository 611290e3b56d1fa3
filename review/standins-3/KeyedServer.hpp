#pragma once

// A backend server of a sharded service, as the platform's pages describe it.

#include "Kit.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace review {

constexpr std::uint32_t kKeys = 65536;
/// An answer to a heartbeat beyond this size, or later than this, acknowledges nothing.
constexpr std::size_t kLargestAnswer = 4096;
constexpr milliseconds kLatestAnswer{ 1000 };

struct KeyedServerSettings
{
  std::string id_;
  std::string service_;
  Address address_;
  Address heartbeats_;
  milliseconds interval_{ 870 };
  std::size_t slots_ = 12;
  std::size_t queue_ = 36;
  std::function<milliseconds()> work_;
};

/// Runs requests for the keys that it holds, sends heartbeats, and drains before it ends.
class KeyedServer
{
public:
  KeyedServer(boost::asio::io_context& aIo, KeyedServerSettings aSettings, Record& aRecord)
    : io_(aIo)
    , settings_(std::move(aSettings))
    , record_(aRecord)
    , born_(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
    , seen_(kKeys, 0)
    , fence_(kKeys, 0)
  {
    OnIo([this] {
      server_ = std::make_unique<redwing::standins::HttpServer>(
        io_, settings_.address_, [this](const auto& aExchange) { Handle(aExchange); });
      server_->Listen();
    });
    beats_ = std::thread([this] { Beat(); });
  }

  ~KeyedServer() { End(); }

  KeyedServer(const KeyedServer&) = delete;
  KeyedServer& operator=(const KeyedServer&) = delete;

  /// Ends without a word.
  void End()
  {
    if (ended_.exchange(true)) {
      return;
    }
    beats_.join();
    OnIo([this] {
      *alive_ = false;
      server_.reset();
    });
  }

  /// Reports that it drains, waits until that is acknowledged and drainTimeoutMs have passed, says
  /// that it leaves, and ends. Returns whether it was acknowledged.
  bool Drain(milliseconds aDrainTimeout, milliseconds aLimit)
  {
    draining_ = true;
    const auto start = Clock::now();
    while (!drainAcknowledged_ && Since(start) < aLimit) {
      std::this_thread::sleep_for(5ms);
    }
    const bool acknowledged = drainAcknowledged_;
    if (acknowledged) {
      std::this_thread::sleep_for(aDrainTimeout + 300ms);
    }
    Call(settings_.heartbeats_, "DELETE", "/-/instances/" + settings_.id_);
    End();
    return acknowledged;
  }

  std::uint32_t HeldKeys()
  {
    std::lock_guard lock(mutex_);
    Lapse();
    return static_cast<std::uint32_t>(
      std::count_if(fence_.begin(), fence_.end(), [](std::uint64_t aFence) { return aFence > 0; }));
  }

  std::size_t LargestAnswer() const { return largestAnswer_; }
  std::size_t RowsOfLastAnswer() const { return rows_; }
  std::size_t BytesOfLastAnswer() const { return bytes_; }
  std::size_t TooLarge() const { return tooLarge_; }
  std::size_t Ran() const { return ran_; }
  const std::string& Id() const { return settings_.id_; }

private:
  struct Run
  {
    redwing::standins::HttpExchangePtr exchange_;
    std::uint32_t key_ = 0;
    std::uint64_t fence_ = 0;
  };

  void OnIo(const std::function<void()>& aTask)
  {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Beat()
  {
    auto next = Clock::now();
    while (!ended_) {
      if (Clock::now() < next) {
        std::this_thread::sleep_for(2ms);
        continue;
      }
      next = Clock::now() + (SendHeartbeat() ? 50ms : settings_.interval_);
    }
  }

  /// Drops the keys of a hold that has run out.
  void Lapse()
  {
    if (Clock::now() >= heldUntil_) {
      std::fill(fence_.begin(), fence_.end(), 0);
    }
  }

  /// Moves the keys that were left out and on which no work goes on to those to be reported.
  void Release()
  {
    std::set<std::uint32_t> busy;
    for (const auto& [number, run] : runs_) {
      busy.insert(run.key_);
    }
    std::vector<std::uint32_t> ready;
    std::set<std::uint32_t> kept;
    for (const std::uint32_t key : dropped_) {
      if (busy.contains(key)) {
        kept.insert(key);
      } else {
        ready.push_back(key);
      }
    }
    dropped_ = std::move(kept);
    for (std::size_t i = 0; i < ready.size();) {
      std::size_t last = i;
      while (last + 1 < ready.size() && ready[last + 1] == ready[last] + 1) {
        ++last;
      }
      constexpr std::size_t kDigits = 16;
      std::string token = std::to_string(++handovers_ * 7919 + born_) + "0000000000000000";
      freed_.push_back({ ready[i], ready[last], token.substr(0, kDigits) });
      i = last + 1;
    }
  }

  std::string Heartbeat()
  {
    Lapse();
    Release();
    Json holds = Json::array();
    for (std::uint32_t key = 0; key < kKeys;) {
      if (fence_[key] == 0) {
        ++key;
        continue;
      }
      std::uint32_t last = key;
      while (last + 1 < kKeys && fence_[last + 1] == fence_[key]) {
        ++last;
      }
      holds.push_back({ key, last, fence_[key] });
      key = last + 1;
    }
    for (const auto& [number, run] : runs_) {
      if (fence_[run.key_] == 0) {
        holds.push_back({ run.key_, run.key_, run.fence_ });
      }
    }
    Json freed = Json::array();
    for (const auto& [first, last, token] : freed_) {
      freed.push_back({ first, last, token });
    }
    return Json{
      { "service", settings_.service_ },
      { "address", settings_.address_.ToString() },
      { "zone", "a" },
      { "version", "v1" },
      { "slots", settings_.slots_ },
      { "state", draining_ ? "draining" : "ready" },
      { "coldRemainingMs", 0 },
      { "born", born_ },
      { "seq", ++sequence_ },
      { "holds", std::move(holds) },
      { "freed", std::move(freed) }
    }.dump();
  }

  /// Returns whether the next heartbeat is due soon, because keys are to be released.
  bool SendHeartbeat()
  {
    std::string body;
    std::size_t told = 0;
    const bool drains = draining_;
    {
      std::lock_guard lock(mutex_);
      body = Heartbeat();
      told = freed_.size();
    }
    const auto sentAt = Clock::now();
    const Answer answer =
      Call(settings_.heartbeats_, "PUT", "/-/instances/" + settings_.id_, body, {}, kLatestAnswer);
    std::lock_guard lock(mutex_);
    const Json reply = Json::parse(answer.body_, nullptr, false);
    const bool grants = reply.is_object() && reply.contains("holds");
    largestAnswer_ = std::max<std::size_t>(largestAnswer_, answer.body_.size());
    rows_ = grants ? reply["holds"].size() : 0;
    bytes_ = answer.body_.size();
    if (answer.body_.size() > kLargestAnswer) {
      if (tooLarge_++ == 0) {
        record_.Add("server " + settings_.id_ + ": the answer to its heartbeat has " +
                      std::to_string(answer.body_.size()) + " bytes with " + std::to_string(rows_) +
                      " rows, which acknowledges nothing",
                    true);
      }
      return false;
    }
    if (!answer.Ok() || Since(sentAt) > kLatestAnswer) {
      return false;
    }
    drainAcknowledged_ = drainAcknowledged_ || drains;
    freed_.erase(freed_.begin(), freed_.begin() + static_cast<std::ptrdiff_t>(told));
    if (grants) {
      Take(reply, sentAt);
    }
    return !dropped_.empty() || !freed_.empty();
  }

  void Take(const Json& aReply, Clock::time_point aSentAt)
  {
    Lapse();
    std::vector<std::uint64_t> next(kKeys, 0);
    for (const Json& row : aReply["holds"]) {
      const auto first = row[0].get<std::uint32_t>();
      const auto last = row[1].get<std::uint32_t>();
      const auto fence = row[2].get<std::uint64_t>();
      const bool rises = std::all_of(seen_.begin() + first,
                                     seen_.begin() + last + 1,
                                     [&](std::uint64_t aSeen) { return aSeen <= fence; });
      if (rises) {
        std::fill(seen_.begin() + first, seen_.begin() + last + 1, fence);
        std::fill(next.begin() + first, next.begin() + last + 1, fence);
      }
    }
    for (std::uint32_t key = 0; key < kKeys; ++key) {
      if (fence_[key] != 0 && next[key] == 0) {
        dropped_.insert(key);
      }
    }
    fence_ = std::move(next);
    heldUntil_ = aSentAt + milliseconds(aReply["holdDurationMs"].get<std::int64_t>());
  }

  void Reject(const redwing::standins::HttpExchangePtr& aExchange, unsigned aStatus)
  {
    redwing::standins::HttpResponse response;
    response.status_ = aStatus;
    response.headers_ = { { "X-Request-Id",
                            std::string(aExchange->Request().Header("X-Request-Id")) },
                          { "X-Not-Executed", "1" } };
    aExchange->Respond(std::move(response));
  }

  void Handle(const redwing::standins::HttpExchangePtr& aExchange)
  {
    const auto& request = aExchange->Request();
    const std::string expected(request.Header("X-Expected-Instance"));
    const std::string key(request.Header("X-Shard-Key"));
    if (request.path_ == "/health") {
      redwing::standins::HttpResponse response;
      response.headers_ = { { "X-Instance-Id", settings_.id_ } };
      aExchange->Respond(std::move(response));
      return;
    }
    std::lock_guard lock(mutex_);
    Lapse();
    const auto number = key.empty() ? kKeys : static_cast<std::uint32_t>(std::stoul(key));
    if ((!expected.empty() && expected != settings_.id_) || number >= kKeys ||
        fence_[number] == 0) {
      constexpr unsigned kMisdirected = 421;
      Reject(aExchange, kMisdirected);
      return;
    }
    if (runs_.size() < settings_.slots_) {
      Begin({ aExchange, number, fence_[number] });
    } else if (waiting_.size() < settings_.queue_) {
      waiting_.push_back({ aExchange, number, fence_[number] });
    } else {
      constexpr unsigned kFull = 503;
      Reject(aExchange, kFull);
    }
  }

  void Begin(Run aRun)
  {
    ++ran_;
    record_.Add("server " + settings_.id_ + " runs request " +
                std::string(aRun.exchange_->Request().Header("X-Request-Id")) + " key " +
                std::to_string(aRun.key_));
    const std::uint64_t number = ++lastRun_;
    runs_[number] = std::move(aRun);
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, settings_.work_());
    timer->async_wait([this, timer, number, alive = alive_](const auto&) {
      if (*alive) {
        Finish(number);
      }
    });
  }

  void Finish(std::uint64_t aNumber)
  {
    std::lock_guard lock(mutex_);
    const Run run = std::move(runs_.extract(aNumber).mapped());
    redwing::standins::HttpResponse response;
    // Work that outlasts its hold ends with 500. Released keys may be finished.
    const bool lapsed = Clock::now() >= heldUntil_;
    response.status_ = lapsed ? 500 : 200;
    response.body_ = "{}";
    response.headers_ = { { "X-Request-Id",
                            std::string(run.exchange_->Request().Header("X-Request-Id")) },
                          { "X-Server-Signature", settings_.id_ + "." + std::to_string(born_) } };
    run.exchange_->Respond(std::move(response));
    while (!waiting_.empty() && runs_.size() < settings_.slots_) {
      Run next = std::move(waiting_.front());
      waiting_.pop_front();
      Lapse();
      if (!next.exchange_->Open()) {
        continue;
      }
      if (fence_[next.key_] == 0) {
        constexpr unsigned kMisdirected = 421;
        Reject(next.exchange_, kMisdirected);
        continue;
      }
      next.fence_ = fence_[next.key_];
      Begin(std::move(next));
    }
  }

  boost::asio::io_context& io_;
  KeyedServerSettings settings_;
  Record& record_;
  std::int64_t born_;
  std::unique_ptr<redwing::standins::HttpServer> server_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::thread beats_;
  std::atomic<bool> ended_{ false };
  std::atomic<bool> draining_{ false };
  std::atomic<bool> drainAcknowledged_{ false };
  std::atomic<std::size_t> largestAnswer_{ 0 };
  std::atomic<std::size_t> rows_{ 0 };
  std::atomic<std::size_t> bytes_{ 0 };
  std::atomic<std::size_t> tooLarge_{ 0 };
  std::atomic<std::size_t> ran_{ 0 };
  std::mutex mutex_;
  std::uint64_t sequence_ = 0;
  std::uint64_t handovers_ = 0;
  std::uint64_t lastRun_ = 0;
  /// Highest generation number seen of each key, and that of its hold; 0 if it is not held.
  std::vector<std::uint64_t> seen_;
  std::vector<std::uint64_t> fence_;
  Clock::time_point heldUntil_{};
  /// Keys that were left out and are worked on.
  std::set<std::uint32_t> dropped_;
  std::vector<std::tuple<std::uint32_t, std::uint32_t, std::string>> freed_;
  std::map<std::uint64_t, Run> runs_;
  std::deque<Run> waiting_;
};

} // namespace review
