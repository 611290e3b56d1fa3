#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <linux/sockios.h>
#include <sys/ioctl.h>

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

/// Returns the number of bytes written to aSocket that the other end has not acknowledged; 0 if the
/// system does not tell.
///
/// Preconditions: aSocket is open. Thread safety: as aSocket.
inline std::size_t
UnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket)
{
  int bytes = 0;
  const bool known = ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  return known ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace redwing
