#pragma once

#include "tests/integration/PlatformFleet.hpp"
#include "tests/integration/shutdown/Servers.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace redwing::test {

/// A backend server that ends as soon as it begins a request below /poison/, or when told to, and
/// starts again as another run after a time. Other requests take 60 ms.
class CrashingServer
{
public:
  /// aOnPoison is called on another thread when a request below /poison/ is begun.
  CrashingServer(int aNumber, std::chrono::milliseconds aDownTime, std::function<void()> aOnPoison)
    : number_(aNumber)
    , downTime_(aDownTime)
    , onPoison_(std::move(aOnPoison))
  {
    Begin(0);
    port_ = server_->Port();
    keeper_ = std::thread([this] { Keep(); });
  }

  ~CrashingServer()
  {
    stopped_ = true;
    keeper_.join();
    ending_ = true;
    server_.reset();
  }

  std::uint16_t Port() const { return port_; }
  int Crashes() const { return crashes_; }

  /// Ends the server as a request below /poison/ does.
  void Crash() { ending_ = true; }

  std::optional<ServerState> State()
  {
    std::lock_guard lock(mutex_);
    return state_;
  }

private:
  void Begin(std::uint16_t aPort)
  {
    ending_ = false;
    server_ = std::make_unique<FakeServer>(
      [this](const FakeRequest& aRequest) { return Handle(aRequest); }, aPort);
    std::lock_guard lock(mutex_);
    state_ = ServerState{ "i-" + std::to_string(number_) + "-" + std::to_string(crashes_),
                          1789395282487 + static_cast<std::uint64_t>(crashes_) * 1000 };
  }

  FakeServer::Response Handle(const FakeRequest& aRequest)
  {
    if (aRequest.target_.starts_with("/poison/")) {
      onPoison_();
      ending_ = true;
    }
    // Long enough for the listener to be closed when the connections of a crash end.
    for (int i = 0; i < 6; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    if (ending_) {
      return { .text_ = {}, .closeAfter_ = true };
    }
    const std::string id = HeaderOf(aRequest.head_, "X-Request-Id");
    return { FakeServer::Ok("done", "X-Request-Id: " + id + "\r\nX-Server-Signature: s\r\n") };
  }

  void Keep()
  {
    while (!stopped_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      if (!ending_) {
        continue;
      }
      ++crashes_;
      {
        std::lock_guard lock(mutex_);
        state_.reset();
      }
      server_->Crash();
      const auto back = Clock::now() + downTime_;
      while (!stopped_ && Clock::now() < back) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
      if (!stopped_) {
        Begin(port_);
      }
    }
  }

  int number_;
  std::chrono::milliseconds downTime_;
  std::function<void()> onPoison_;
  std::uint16_t port_ = 0;
  std::atomic<bool> ending_{ false };
  std::atomic<bool> stopped_{ false };
  std::atomic<int> crashes_{ 0 };
  std::mutex mutex_;
  std::optional<ServerState> state_;
  std::unique_ptr<FakeServer> server_;
  std::thread keeper_;
};

} // namespace redwing::test
