#pragma once

// A backend server of a service that is not sharded.

#include "Kit.hpp"

namespace review {

struct PlainServerSettings
{
  std::string id_;
  std::string service_;
  Address address_;
  Address heartbeats_;
  milliseconds interval_{ 870 };
  int slots_ = 12;
  std::function<void(const redwing::standins::HttpExchangePtr&)> handle_;
};

/// Answers requests by a function and sends heartbeats.
class PlainServer
{
public:
  PlainServer(boost::asio::io_context& aIo, PlainServerSettings aSettings)
    : io_(aIo)
    , settings_(std::move(aSettings))
    , born_(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
  {
    OnIo([this] {
      server_ = std::make_unique<redwing::standins::HttpServer>(
        io_, settings_.address_, [this](const auto& aExchange) {
          if (aExchange->Request().path_ == "/health") {
            redwing::standins::HttpResponse response;
            response.headers_ = { { "X-Instance-Id", settings_.id_ } };
            aExchange->Respond(std::move(response));
            return;
          }
          settings_.handle_(aExchange);
        });
      server_->Listen();
    });
    beats_ = std::thread([this] {
      auto next = Clock::now();
      while (!ended_) {
        // A server that begins to drain says so at once.
        if (Clock::now() >= next || prompt_.exchange(false)) {
          next = Clock::now() + settings_.interval_;
          SendHeartbeat();
        }
        std::this_thread::sleep_for(5ms);
      }
    });
  }

  ~PlainServer()
  {
    ended_ = true;
    beats_.join();
    OnIo([this] { server_.reset(); });
  }

  PlainServer(const PlainServer&) = delete;
  PlainServer& operator=(const PlainServer&) = delete;

  /// Reports from now on that it drains; returns when that was acknowledged, or nothing.
  std::optional<Clock::time_point> Drain(milliseconds aLimit)
  {
    draining_ = true;
    prompt_ = true;
    const auto start = Clock::now();
    while (Since(start) < aLimit) {
      if (const auto at = acknowledgedAt_.load(); at != Clock::time_point{}) {
        return at;
      }
      std::this_thread::sleep_for(1ms);
    }
    return std::nullopt;
  }

private:
  void OnIo(const std::function<void()>& aTask)
  {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  void SendHeartbeat()
  {
    const bool drains = draining_;
    const Json heartbeat{ { "service", settings_.service_ },
                          { "address", settings_.address_.ToString() },
                          { "zone", "a" },
                          { "version", "v1" },
                          { "slots", settings_.slots_ },
                          { "state", drains ? "draining" : "ready" },
                          { "coldRemainingMs", 0 },
                          { "born", born_ },
                          { "seq", ++sequence_ } };
    const Answer answer = Call(
      settings_.heartbeats_, "PUT", "/-/instances/" + settings_.id_, heartbeat.dump(), {}, 1000ms);
    if (drains && answer.Ok() && acknowledgedAt_.load() == Clock::time_point{}) {
      acknowledgedAt_ = Clock::now();
    }
  }

  boost::asio::io_context& io_;
  PlainServerSettings settings_;
  std::int64_t born_;
  std::unique_ptr<redwing::standins::HttpServer> server_;
  std::thread beats_;
  std::atomic<bool> ended_{ false };
  std::atomic<bool> draining_{ false };
  std::atomic<bool> prompt_{ false };
  std::atomic<Clock::time_point> acknowledgedAt_{};
  std::uint64_t sequence_ = 0;
};

} // namespace review
