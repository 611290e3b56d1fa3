#include "proxy/TcpForwarder.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <utility>

namespace redwing::standins {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t kReadBytes = 65536;
/// Bytes held back per direction; beyond it the sender is slowed by TCP flow control.
constexpr std::size_t kHeldBytes = 1U << 20U;
/// How often held bytes are tried again during a cut.
constexpr std::chrono::milliseconds kCutPoll{ 5 };

} // namespace

class TcpForwarder::Flow : public std::enable_shared_from_this<Flow>
{
public:
  Flow(ProxyContext& aContext, Tcp::socket aClient, std::string aFrom, std::string aTo)
    : context_(aContext)
    , from_(std::move(aFrom))
    , to_(std::move(aTo))
    , client_(std::move(aClient))
    , server_(aContext.io_)
    , forth_{ client_, server_, asio::steady_timer(aContext.io_) }
    , back_{ server_, client_, asio::steady_timer(aContext.io_) }
  {
  }

  void Start(const Address& aTo)
  {
    Error ignored;
    client_.set_option(Tcp::no_delay(true), ignored);
    Tcp::endpoint endpoint(asio::ip::make_address(aTo.ip_), aTo.port_);
    server_.async_connect(endpoint, [self = shared_from_this()](Error aError) {
      if (aError) {
        self->Close();
        return;
      }
      Error unused;
      self->server_.set_option(Tcp::no_delay(true), unused);
      self->Read(self->forth_);
      self->Read(self->back_);
    });
  }

  void Silence(const std::string& aFrom)
  {
    silenced_ = silenced_ || from_.starts_with(aFrom) || to_.starts_with(aFrom);
  }

private:
  struct Chunk
  {
    SteadyTime due_;
    std::string data_;
  };
  struct Direction
  {
    Tcp::socket& source_;
    Tcp::socket& sink_;
    asio::steady_timer timer_;
    std::deque<Chunk> held_{};
    std::size_t heldBytes_ = 0;
    bool reading_ = false;
    bool sending_ = false;
    bool ended_ = false;
    std::array<char, kReadBytes> buffer_{};
  };

  Condition Lookup(const Direction& aDirection) const
  {
    return &aDirection == &forth_ ? context_.rules_.Lookup(from_, to_)
                                  : context_.rules_.Lookup(to_, from_);
  }

  void Read(Direction& aDirection)
  {
    if (aDirection.reading_ || aDirection.ended_ || aDirection.heldBytes_ >= kHeldBytes) {
      return;
    }
    aDirection.reading_ = true;
    aDirection.source_.async_read_some(
      asio::buffer(aDirection.buffer_),
      [self = shared_from_this(), &aDirection](Error aError, std::size_t aLength) {
        aDirection.reading_ = false;
        if (aError && aError != asio::error::eof) {
          self->Close();
          return;
        }
        aDirection.ended_ = static_cast<bool>(aError);
        auto condition = self->Lookup(aDirection);
        double delay = condition.delayMs_ + condition.jitterMs_ * self->context_.random_.Unit();
        auto due = std::chrono::steady_clock::now() +
                   std::chrono::nanoseconds(static_cast<std::int64_t>(delay * 1e6));
        aDirection.heldBytes_ += aLength;
        // An empty chunk stands for the end of the stream.
        aDirection.held_.push_back({ due, std::string(aDirection.buffer_.data(), aLength) });
        self->Send(aDirection);
        self->Read(aDirection);
      });
  }

  void Send(Direction& aDirection)
  {
    if (aDirection.sending_ || aDirection.held_.empty() || silenced_) {
      return;
    }
    aDirection.sending_ = true;
    auto now = std::chrono::steady_clock::now();
    auto due = Lookup(aDirection).cut_ ? now + kCutPoll : aDirection.held_.front().due_;
    if (due > now) {
      aDirection.timer_.expires_at(due);
      aDirection.timer_.async_wait([self = shared_from_this(), &aDirection](Error) {
        aDirection.sending_ = false;
        if (!self->closed_) {
          self->Send(aDirection);
        }
      });
      return;
    }
    if (aDirection.held_.front().data_.empty()) {
      EndOfStream(aDirection);
      return;
    }
    asio::async_write(aDirection.sink_,
                      asio::buffer(aDirection.held_.front().data_),
                      [self = shared_from_this(), &aDirection](Error aError, std::size_t aLength) {
                        aDirection.sending_ = false;
                        if (aError) {
                          self->Close();
                          return;
                        }
                        self->context_.counters_.tcpBytes_ += aLength;
                        aDirection.heldBytes_ -= aLength;
                        aDirection.held_.pop_front();
                        self->Send(aDirection);
                        self->Read(aDirection);
                      });
  }

  void EndOfStream(Direction& aDirection)
  {
    Error ignored;
    aDirection.sink_.shutdown(Tcp::socket::shutdown_send, ignored);
    aDirection.held_.clear();
    if (forth_.ended_ && back_.ended_ && forth_.held_.empty() && back_.held_.empty()) {
      Close();
    }
  }

  void Close()
  {
    // A silenced connection stays open on both sides.
    if (silenced_ || closed_) {
      return;
    }
    closed_ = true;
    Error ignored;
    client_.close(ignored);
    server_.close(ignored);
    forth_.timer_.cancel();
    back_.timer_.cancel();
  }

  ProxyContext& context_;
  std::string from_;
  std::string to_;
  Tcp::socket client_;
  Tcp::socket server_;
  Direction forth_;
  Direction back_;
  bool silenced_ = false;
  bool closed_ = false;
};

TcpForwarder::TcpForwarder(ProxyContext& aContext, ProxyNode aNode)
  : context_(aContext)
  , node_(std::move(aNode))
  , acceptor_(aContext.io_,
              Tcp::endpoint(asio::ip::make_address(node_.listen_.ip_), node_.listen_.port_))
{
  Accept();
}

void
TcpForwarder::SilenceOld(const std::string& aFrom)
{
  for (auto& entry : flows_) {
    if (auto flow = entry.lock()) {
      flow->Silence(aFrom);
      // Without pending operations nothing else would keep the sockets open.
      silenced_.push_back(std::move(flow));
    }
  }
}

void
TcpForwarder::Accept()
{
  acceptor_.async_accept([this](Error aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      Error ignored;
      auto name = context_.names_.find(aSocket.remote_endpoint(ignored).address().to_string());
      auto from = name == context_.names_.end() ? std::string("unknown") : name->second;
      auto flow = std::make_shared<Flow>(
        context_, std::move(aSocket), node_.from_.empty() ? from : node_.from_, node_.name_);
      std::erase_if(flows_, [](const auto& aFlow) { return aFlow.expired(); });
      flows_.push_back(flow);
      ++context_.counters_.tcpFlows_;
      flow->Start(node_.to_);
    }
    Accept();
  });
}

} // namespace redwing::standins
