#pragma once

#include "core/Random.hpp"
#include "proxy/Rules.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>

namespace redwing::standins {

/// Totals of bytes and flows that went through the proxy.
struct ProxyCounters
{
  std::uint64_t tcpBytes_ = 0;
  std::uint64_t tcpFlows_ = 0;
  std::uint64_t udpPackets_ = 0;
  std::uint64_t udpBytes_ = 0;
  std::uint64_t udpDropped_ = 0;
};

/// State that all forwarders of the process share; used on one thread.
struct ProxyContext
{
  boost::asio::io_context io_{ 1 };
  Rules rules_;
  NodeNames names_;
  Random random_{ 1 };
  ProxyCounters counters_;
};

/// Forwards the TCP connections to one node. A cut holds bytes back, as lost packets do, and passes
/// them on after it ends. Not thread-safe.
class TcpForwarder
{
public:
  /// Starts to listen; throws when the address is in use.
  TcpForwarder(ProxyContext& aContext, ProxyNode aNode);

  /// Existing connections from the given prefix pass no more bytes for good and stay open.
  void SilenceOld(const std::string& aFrom);
  const ProxyNode& Node() const { return node_; }

private:
  class Flow;

  void Accept();

  ProxyContext& context_;
  ProxyNode node_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Flow>> flows_;
  std::vector<std::shared_ptr<Flow>> silenced_;
};

} // namespace redwing::standins
