#pragma once

#include "core/Address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace redwing {

/// Listens on a TCP address and accepts all connections that wait there in one turn of the event
/// loop. Accepting one a turn would let them wait longer the busier the loop is.
///
/// Thread safety: all functions belong to the thread of the io_context.
class ConnectionAcceptor
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using OnAccepted = std::function<void(Socket)>;

  ConnectionAcceptor(boost::asio::io_context& aContext, OnAccepted aOnAccepted);

  /// Binds aAddress and begins to accept. Returns the bound address, or the reason of a failure.
  ///
  /// Preconditions: called once.
  tl::expected<Address, std::string> Listen(const Address& aAddress);

  /// Stops accepting; connections that still wait are reset.
  ///
  /// Preconditions: none.
  void Close();

  /// Preconditions: none.
  bool IsOpen() const { return acceptor_.is_open(); }

private:
  void Wait();
  void AcceptWaiting();
  void Pause();

  OnAccepted onAccepted_;
  /// Expires with this object; handlers may be called later.
  std::shared_ptr<void> alive_ = std::make_shared<char>();
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pauseTimer_;
};

} // namespace redwing
