#pragma once

#include "OwnerJudge.hpp"
#include "core/Address.hpp"
#include "standins/common/HttpServer.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace redwing::test {

/// How a server answers a request.
struct ServerReply
{
  unsigned status_ = 200;
  std::chrono::milliseconds work_{ 20 };
};

struct KeyedServerSettings
{
  std::string id_;
  std::string service_;
  Address address_;
  /// Address of the instance beside the server that takes its heartbeats.
  Address heartbeats_;
  std::chrono::milliseconds interval_{ 500 };
  std::chrono::milliseconds work_{ 20 };
  /// Factor by which the server's clock runs slow.
  double drift_ = 1;
  std::string version_ = "v1";
  /// Returns how a request is answered; a success after work_ if empty. aRuns is false for one that
  /// the server rejects. Called on the context's thread.
  std::function<ServerReply(const standins::HttpRequest&, bool aRuns)> begin_{};
  /// Called on the context's thread when a request ends that ran.
  std::function<void(const ServerReply&)> end_{};
};

/// A run of a backend server that serves only the keys that replies to its heartbeats grant to it,
/// and tells a judge what it holds and runs. All functions are callable from any thread.
class KeyedServer
{
public:
  /// Starts to listen, and to send heartbeats. The judge outlives the server.
  ///
  /// Preconditions: aIo is run by one other thread, which outlives the server.
  KeyedServer(boost::asio::io_context& aIo, KeyedServerSettings aSettings, OwnerJudge& aJudge);

  /// Ends the run and waits for its threads.
  ~KeyedServer();

  KeyedServer(const KeyedServer&) = delete;
  KeyedServer& operator=(const KeyedServer&) = delete;

  /// Ends the run as the end of a process does; the threads end a moment later.
  void End();

  const std::string& Id() const { return settings_.id_; }
  const std::string& Run() const { return run_; }
  std::vector<HeldRow> Holds() const;

  /// Closes the listener and all connections; the server goes on otherwise.
  void Refuse();

  /// Closes the listener only.
  void StopListening();

  /// Listens again.
  void Accept();

  /// Sends no heartbeats for aTime.
  void Mute(std::chrono::milliseconds aTime);

  /// Delays the next heartbeat on its way by aTime; the ones after it are not delayed.
  void DelayHeartbeat(std::chrono::milliseconds aTime);

  /// Sends each heartbeat twice, at once.
  void SendTwice(bool aTwice) { twice_ = aTwice; }

  /// Says from now on that it is about to leave.
  void Drain() { draining_ = true; }

  /// Says at once that it leaves, without a heartbeat that tells so. Returns whether it was
  /// confirmed.
  bool Leave();

private:
  struct Released
  {
    HeldRow row_;
    std::string handover_;
  };
  struct RunningRequest
  {
    std::size_t number_ = 0;
    std::uint32_t key_ = 0;
    std::uint64_t token_ = 0;
  };

  void OnContext(const std::function<void()>& aTask);
  void Beat();
  /// Sends a heartbeat; returns whether another one has to follow soon.
  bool SendHeartbeat();
  std::string MakeHeartbeat();
  /// Sends a heartbeat on a thread of its own; its reply is ignored.
  void SendAside(std::string aBody, std::chrono::milliseconds aDelay);
  void Take(const std::string& aReply, JudgeTime aSentAt);
  bool Acceptable(const HeldRow& aRow) const;
  /// Reports dropped rows as released once no request for their keys runs.
  void FinishDropped();
  void Handle(const standins::HttpExchangePtr& aExchange);
  const HeldRow* RowOf(std::uint32_t aKey) const;
  void EndRequest(std::size_t aNumber);
  bool Holding() const { return std::chrono::steady_clock::now() < heldUntil_; }

  boost::asio::io_context& io_;
  KeyedServerSettings settings_;
  OwnerJudge& judge_;
  const std::uint64_t startedAt_;
  const std::string run_;
  std::atomic<bool> ended_{ false };
  std::atomic<bool> twice_{ false };
  std::atomic<bool> draining_{ false };
  mutable std::mutex mutex_;
  std::uint64_t sequence_ = 0;
  std::vector<HeldRow> rows_;
  JudgeTime heldUntil_{};
  /// Highest token seen for each key.
  std::vector<std::uint64_t> seen_;
  std::vector<HeldRow> dropped_;
  std::vector<Released> released_;
  std::uint64_t handovers_ = 0;
  JudgeTime muteUntil_{};
  std::chrono::milliseconds delay_{ 0 };
  std::vector<RunningRequest> running_;
  /// Set on the context's thread while this object exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<standins::HttpServer> server_;
  std::vector<std::thread> aside_;
  std::thread beats_;
};

} // namespace redwing::test
