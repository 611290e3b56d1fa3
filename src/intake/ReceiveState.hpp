#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace redwing::Detail {

/// Returns whether the other end of aSocket has closed or reset the connection, even if bytes that
/// it sent before are still unread. Returns false if the system does not tell.
///
/// Preconditions: aSocket was connected. Thread safety: as aSocket.
bool ClosedByPeer(boost::asio::ip::tcp::socket& aSocket);

} // namespace redwing::Detail
