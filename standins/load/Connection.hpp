#pragma once

#include "core/Address.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace redwing::standins {

enum class ReplyKind : std::uint8_t
{
  /// A complete response was received.
  Complete,
  /// No connection could be opened; nothing was sent.
  NotConnected,
  /// The connection ended after something was sent and before the response was complete.
  Broken,
};

struct Reply
{
  ReplyKind kind_ = ReplyKind::Broken;
  unsigned status_ = 0;
  /// Values of Redwing-Outcome, Redwing-Error, Redwing-Shed and Load-Id.
  std::string outcome_;
  std::string error_;
  std::string shed_;
  std::string loadId_;
  std::string body_;
};

/// Keep-alive connection that carries one request at a time. Not thread-safe.
class Connection
{
public:
  using Handler = std::function<void(Reply)>;

  virtual ~Connection() = default;
  /// Sends the text of a request; opens the connection first if necessary. The handler is called
  /// once, never from within Send. Precondition: no request is running.
  virtual void Send(std::string aText, Handler aHandler) = 0;
  /// Ends the running request with ReplyKind::Broken.
  virtual void Abort() = 0;
  virtual bool Usable() const = 0;

  static std::shared_ptr<Connection> Create(boost::asio::io_context& aIo, const Address& aTarget);
};

} // namespace redwing::standins
