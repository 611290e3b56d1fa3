#include "proxy/UdpForwarder.hpp"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace redwing::standins {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using Error = boost::system::error_code;

namespace {

/// A datagram that is to be overtaken waits this much longer.
constexpr double kReorderDelayMs = 5;

} // namespace

UdpForwarder::UdpForwarder(ProxyContext& aContext, const ProxyNode& aNode, UdpForwarders& aAll)
  : context_(aContext)
  , name_(aNode.name_)
  , to_(asio::ip::make_address(aNode.to_.ip_), aNode.to_.port_)
  , socket_(aContext.io_,
            Udp::endpoint(asio::ip::make_address(aNode.listen_.ip_), aNode.listen_.port_))
  , all_(aAll)
{
  Receive();
}

void
UdpForwarder::Receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_), sender_, [this](Error aError, std::size_t aLength) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      auto name = context_.names_.find(sender_.address().to_string());
      if (aError || name == context_.names_.end()) {
        ++context_.counters_.udpDropped_;
      } else {
        Forward(std::make_shared<std::string>(buffer_.data(), aLength), name->second);
      }
      Receive();
    });
}

void
UdpForwarder::Forward(std::shared_ptr<std::string> aData, const std::string& aFrom)
{
  auto condition = context_.rules_.Lookup(aFrom, name_);
  auto hits = [this](double aPercent) { return context_.random_.Unit() * 100 < aPercent; };
  if (condition.cut_ || hits(condition.lossPercent_)) {
    ++context_.counters_.udpDropped_;
    return;
  }
  auto& sender = *all_.at(aFrom);
  double delay = condition.delayMs_ + condition.jitterMs_ * context_.random_.Unit();
  if (hits(condition.reorderPercent_)) {
    delay += kReorderDelayMs;
  }
  if (hits(condition.duplicatePercent_)) {
    SendAfter(aData, sender, delay);
  }
  SendAfter(std::move(aData), sender, delay);
}

void
UdpForwarder::SendAfter(std::shared_ptr<std::string> aData, UdpForwarder& aSender, double aDelayMs)
{
  ++context_.counters_.udpPackets_;
  context_.counters_.udpBytes_ += aData->size();
  if (aDelayMs <= 0) {
    Error ignored;
    aSender.socket_.send_to(asio::buffer(*aData), to_, 0, ignored);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
    context_.io_, std::chrono::nanoseconds(static_cast<std::int64_t>(aDelayMs * 1e6)));
  timer->async_wait([this, timer, data = std::move(aData), &aSender](Error) {
    Error ignored;
    aSender.socket_.send_to(asio::buffer(*data), to_, 0, ignored);
  });
}

} // namespace redwing::standins
