#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace redwing {

/// Bounds what the system holds for aSocket in each direction; 0 leaves it to the system, which
/// lets buffers grow to several megabytes.
///
/// Preconditions: aSocket is open. Thread safety: as aSocket.
inline void
SetSocketBuffers(boost::asio::ip::tcp::socket& aSocket, int aBytes)
{
  if (aBytes > 0) {
    using Option = boost::asio::socket_base;
    boost::system::error_code ignored;
    aSocket.set_option(Option::receive_buffer_size(aBytes), ignored);
    aSocket.set_option(Option::send_buffer_size(aBytes), ignored);
  }
}

} // namespace redwing
