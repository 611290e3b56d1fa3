#include "intake/ReceiveState.hpp"

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace redwing::Detail {

namespace {

bool
IsClosedByPeer(unsigned aTcpState)
{
  switch (aTcpState) {
    case TCP_CLOSE:
    case TCP_CLOSE_WAIT:
    case TCP_LAST_ACK:
    case TCP_CLOSING:
      return true;
    default:
      return false;
  }
}

} // namespace

ReceiveState
ReadReceiveState(boost::asio::ip::tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return {};
  }
  return { IsClosedByPeer(info.tcpi_state), std::chrono::milliseconds(info.tcpi_last_data_recv) };
}

} // namespace redwing::Detail
