#pragma once

#include "proxy/TcpForwarder.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <string>

namespace redwing::standins {

class UdpForwarder;

/// Forwarders by the name of their node.
using UdpForwarders = std::map<std::string, std::unique_ptr<UdpForwarder>>;

/// Forwards the datagrams to one node. They are sent from the socket that stands for the sender, so
/// that the receiver sees the address by which it knows the sender. Datagrams of unknown senders
/// are dropped. Not thread-safe.
class UdpForwarder
{
public:
  UdpForwarder(ProxyContext& aContext, const ProxyNode& aNode, UdpForwarders& aAll);

private:
  void Receive();
  void Forward(std::shared_ptr<std::string> aData, const std::string& aFrom);
  void SendAfter(std::shared_ptr<std::string> aData, UdpForwarder& aSender, double aDelayMs);

  ProxyContext& context_;
  std::string name_;
  boost::asio::ip::udp::endpoint to_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_{};
  UdpForwarders& all_;
};

} // namespace redwing::standins
