#pragma once

#include "tests/unit/backend/FakeServer.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace redwing::test {

using Clock = std::chrono::steady_clock;

/// Returns the value of a header in a request or response head; empty if it is absent.
inline std::string
HeaderOf(const std::string& aHead, const std::string& aName)
{
  const auto at = aHead.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 4;
  return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
}

/// When requests ran at backend servers, by request id. Thread safety: callable from any thread.
class RunLog
{
public:
  struct Run
  {
    int count_ = 0;
    Clock::time_point begin_{};
    /// Empty while a server is at work.
    std::optional<Clock::time_point> end_;
  };

  void Begin(const std::string& aId)
  {
    std::lock_guard lock(mutex_);
    Run& run = runs_[aId];
    ++run.count_;
    run.begin_ = Clock::now();
    run.end_.reset();
  }

  void End(const std::string& aId)
  {
    std::lock_guard lock(mutex_);
    runs_[aId].end_ = Clock::now();
  }

  Run Of(const std::string& aId)
  {
    std::lock_guard lock(mutex_);
    const auto found = runs_.find(aId);
    return found == runs_.end() ? Run{} : found->second;
  }

private:
  std::mutex mutex_;
  std::map<std::string, Run> runs_;
};

/// A backend server that works for as many milliseconds as the last part of the path states.
class WorkingServer
{
public:
  explicit WorkingServer(RunLog& aLog)
    : server_([&aLog](const FakeRequest& aRequest) {
      const std::string id = HeaderOf(aRequest.head_, "X-Request-Id");
      const auto time = aRequest.target_.substr(aRequest.target_.rfind('/') + 1);
      aLog.Begin(id);
      std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(time)));
      aLog.End(id);
      return FakeServer::Response{ FakeServer::Ok(
        "done", "X-Request-Id: " + id + "\r\nX-Server-Signature: s\r\n") };
    })
  {
  }

  std::uint16_t Port() const { return server_.Port(); }

private:
  FakeServer server_;
};

} // namespace redwing::test
