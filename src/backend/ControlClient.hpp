#pragma once

#include "backend/HttpConnection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace redwing {

struct ControlReply
{
  /// 0 when no response was received.
  std::uint16_t status_ = 0;
  std::string body_;
  /// The connection was refused: nothing listens at the address.
  bool refused_ = false;
};

/// Sends the instance's own small requests to the backend server, one at a time over one keep-alive
/// connection. Backend thread only.
class ControlClient : public std::enable_shared_from_this<ControlClient>
{
public:
  using Callback = std::function<void(const ControlReply&)>;

  ControlClient(boost::asio::io_context& aContext, const Clock& aClock);

  /// Queues a request; aCallback is called exactly once.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void Call(const Address& aAddress,
            std::string_view aMethod,
            std::string_view aTarget,
            std::string_view aBody,
            Duration aTimeout,
            Callback aCallback);

  /// Closes the connection, so that the next call opens a new one.
  ///
  /// Preconditions: no call is open. Thread safety: backend thread only.
  void Reset();

  /// Discards open calls without calling their callbacks. Breaks the reference cycle of client,
  /// connection and observer.
  ///
  /// Preconditions: the io_context no longer runs. Thread safety: not thread-safe.
  void Abandon();

private:
  struct Request
  {
    Address address_;
    std::string text_;
    Duration timeout_{};
    Callback callback_;
  };
  class Observer;

  void Next();
  void Finish(std::uint64_t aCall, const ControlReply& aReply);

  boost::asio::io_context& context_;
  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::deque<Request> queue_;
  std::shared_ptr<HttpConnection> connection_;
  std::uint64_t current_ = 0;
  bool active_ = false;
};

} // namespace redwing
