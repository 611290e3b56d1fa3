#pragma once

#include "core/Clock.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace redwing::Detail {

/// What the system knows of the receiving side of a connection, whether or not it was read yet.
struct ReceiveState
{
  /// The other end has closed or reset the connection; bytes sent before may still be unread.
  bool closed_ = false;
  /// Since the last bytes arrived; zero if the system does not tell.
  Duration sinceLastBytes_{};
};

/// Returns the state of aSocket; an open one without further knowledge if the system does not tell.
///
/// Preconditions: aSocket was connected. Thread safety: as aSocket.
ReceiveState ReadReceiveState(boost::asio::ip::tcp::socket& aSocket);

} // namespace redwing::Detail
