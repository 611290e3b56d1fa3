#pragma once

#include "bench/HttpCall.hpp"
#include "standins/common/HttpServer.hpp"
#include "standins/platform/PlatformStore.hpp"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// A small deployment: instances as processes, and stand-ins of the platform's store, of backend
/// servers and of requesters, which behave as the users' pages say.
namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using redwing::Address;

/// Lines with the time since the start. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aLine);
  double Now() const;

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

/// Keys that a backend server holds.
struct HeldRow
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  std::uint64_t fence_ = 0;
};

/// What a backend server was asked to run.
struct SeenRequest
{
  std::string id_;
  double at_ = 0;
  bool ran_ = false;
};

struct BackendSettings
{
  std::string id_;
  std::string service_;
  std::string zone_;
  bool keyed_ = true;
  int slots_ = 9;
  Address address_;
  Address heartbeats_;
  std::chrono::milliseconds interval_{ 870 };
};

/// Answers a request itself and returns true, or returns false for the usual answer. Called on the
/// thread of the servers.
using Reaction = std::function<bool(const redwing::standins::HttpExchangePtr& aExchange)>;

/// A backend server with a thread that sends its heartbeats.
class Backend
{
public:
  Backend(boost::asio::io_context& aIo, BackendSettings aSettings, Record& aRecord);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  void SetWork(std::chrono::milliseconds aWork) { workMs_ = static_cast<int>(aWork.count()); }
  void SetReaction(Reaction aReaction) { reaction_ = std::move(aReaction); }
  /// Sends a heartbeat now and waits for its reply.
  void BeatNow();
  /// Ends the heartbeats.
  void StopBeats() { beats_ = false; }
  /// Says that it leaves, without a draining heartbeat first; returns whether it was confirmed.
  bool SendDelete();
  /// Ends, as the process of a server does.
  void Exit();
  /// Ends and starts again after aDownTime. Called on the thread of the servers.
  void Crash(std::chrono::milliseconds aDownTime);

  const BackendSettings& Settings() const { return settings_; }
  /// Returns the rows that are held now.
  std::vector<HeldRow> Holds() const;
  std::vector<SeenRequest> Seen() const;
  bool Up() const { return up_; }

private:
  void Beats();
  void Listen();
  std::uint64_t ColdRemainingMs() const;
  /// Returns whether rows were released, so that the next heartbeat has to follow soon.
  bool Beat();
  bool TakeReply(const std::string& aBody, Clock::time_point aSentAt);
  void Handle(const redwing::standins::HttpExchangePtr& aExchange);
  void Answer(const redwing::standins::HttpExchangePtr& aExchange);
  bool HoldsKey(std::uint32_t aKey) const;

  boost::asio::io_context& io_;
  BackendSettings settings_;
  Record& record_;
  std::atomic<std::uint64_t> born_;
  std::atomic<std::uint64_t> sequence_{ 0 };
  std::atomic<int> workMs_{ 20 };
  std::atomic<bool> beats_{ true };
  std::atomic<bool> up_{ true };
  std::atomic<bool> ended_{ false };
  mutable std::mutex mutex_;
  std::mutex beatMutex_;
  std::vector<HeldRow> rows_;
  Clock::time_point holdsUntil_{};
  Clock::time_point nextBeat_{};
  std::vector<std::pair<HeldRow, std::string>> freed_;
  std::uint64_t handovers_ = 0;
  std::vector<SeenRequest> seen_;
  std::map<std::string, unsigned> runs_;
  Reaction reaction_;
  std::unique_ptr<redwing::standins::HttpServer> server_;
  std::thread thread_;
};

struct WorldSettings
{
  /// Service of the backend server beside each instance.
  std::vector<std::string> services_;
  std::string keyedService_;
  Json manifest_;
  std::string directory_;
};

/// All processes and stand-ins of one run.
class World
{
public:
  explicit World(WorldSettings aSettings);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  std::size_t Size() const { return backends_.size(); }
  Backend& Server(std::size_t aIndex) { return *backends_[aIndex]; }
  Record& Log() { return record_; }

  /// Starts the process of an instance with the command of the deploy file.
  void StartInstance(std::size_t aIndex);
  /// Sends SIGKILL and waits for the end of the process.
  void KillInstance(std::size_t aIndex);
  bool Running(std::size_t aIndex) const;
  /// Waits until all instances are ready and all keys are held; false after 30 s.
  bool AwaitStart();
  Address Outbound(std::size_t aIndex) const { return At(aIndex, 0); }
  Address Heartbeats(std::size_t aIndex) const { return At(aIndex, 2); }
  /// Sends a request, tells its id and waits for the answer.
  redwing::bench::CallResult Request(std::size_t aIngress,
                                     const std::string& aMethod,
                                     const std::string& aPath,
                                     const std::string& aBody,
                                     std::vector<redwing::standins::HttpHeader> aHeaders,
                                     int aBudgetMs,
                                     std::string* aId = nullptr);
  std::string NextId();

private:
  Address At(std::size_t aIndex, int aOffset) const;
  std::string Ip(std::size_t aIndex) const;
  Json InstanceSettings(std::size_t aIndex) const;

  WorldSettings settings_;
  Record record_;
  std::string network_;
  std::uint16_t port_ = 0;
  boost::asio::io_context io_;
  std::unique_ptr<redwing::standins::PlatformStore> store_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<pid_t> processes_;
  std::atomic<std::uint64_t> ids_{ 0 };
  std::thread thread_;
};

/// Times at which two backend servers that are up hold the same keys.
class OverlapWatch
{
public:
  OverlapWatch(World& aWorld, std::vector<std::size_t> aServers);
  ~OverlapWatch();
  OverlapWatch(const OverlapWatch&) = delete;
  OverlapWatch& operator=(const OverlapWatch&) = delete;

  /// Returns the longest time in seconds for which two servers held the same key.
  double Longest() const { return longest_; }

private:
  void Run();

  World& world_;
  std::vector<std::size_t> servers_;
  std::atomic<double> longest_{ 0 };
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

} // namespace review
