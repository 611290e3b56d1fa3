#include "intake/ReceiveState.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace redwing::Detail {

bool
ClosedByPeer(boost::asio::ip::tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return false;
  }
  switch (info.tcpi_state) {
    case TCP_CLOSE:
    case TCP_CLOSE_WAIT:
    case TCP_LAST_ACK:
    case TCP_CLOSING:
      return true;
    default:
      return false;
  }
}

} // namespace redwing::Detail
