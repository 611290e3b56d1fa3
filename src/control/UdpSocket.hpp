#pragma once

#include "core/Address.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace redwing {

/// Non-blocking UDP socket for control datagrams (IPv4).
class UdpSocket
{
public:
  using OnDatagram = std::function<void(std::string_view aBytes)>;

  UdpSocket(boost::asio::io_context& aContext, OnDatagram aOnDatagram);

  /// Binds aAddress and starts to receive. Returns the error message on failure, otherwise an empty
  /// string.
  ///
  /// Preconditions: called once. Thread safety: not thread-safe.
  std::string Open(const Address& aAddress);

  /// Sends aBytes as one datagram. The datagram is dropped on any error, such as a full send
  /// buffer.
  ///
  /// Preconditions: Open succeeded. Thread safety: not thread-safe.
  void Send(const Address& aTo, std::string_view aBytes);

  /// Closes the socket and stops receiving.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Close();

private:
  void Receive();

  static constexpr std::size_t kMaxDatagramBytes = 65536;

  boost::asio::ip::udp::socket socket_;
  OnDatagram onDatagram_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, kMaxDatagramBytes> buffer_{};
};

} // namespace redwing
