#include "peer/Link.hpp"

#include "core/SocketBuffers.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace redwing {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Time after which the kernel drops a connection whose data is not acknowledged.
constexpr int kTcpUserTimeoutMs = 1500;
/// Delay of a frame on its way from which it is reported.
constexpr std::chrono::milliseconds kReportedDelay{ 100 };
/// A buffer of messages above this size is given back once they were written.
constexpr std::size_t kKeptBytes = 64 * 1024;
/// A message without its body.
constexpr std::size_t kMessageBytes = 256;

std::size_t
BytesOf(const LinkMessage& aMessage)
{
  return std::visit(
    [](const auto& aAlternative) {
      if constexpr (requires { aAlternative.body_.size(); }) {
        return kMessageBytes + aAlternative.body_.size();
      } else if constexpr (requires { aAlternative.bytes_.size(); }) {
        return kMessageBytes + aAlternative.bytes_.size();
      } else if constexpr (requires { aAlternative.payload_.size(); }) {
        return kMessageBytes + aAlternative.payload_.size();
      } else {
        return kMessageBytes;
      }
    },
    aMessage);
}

} // namespace

Link::Link(asio::ip::tcp::socket aSocket,
           std::uint64_t aId,
           Handshake aHandshake,
           const Clock& aClock,
           LinkObserver& aObserver)
  : socket_(std::move(aSocket))
  , id_(aId)
  , handshake_(std::move(aHandshake))
  , clock_(aClock)
  , observer_(aObserver)
  , started_(aClock.Now())
  , lastReceived_(started_)
{
}

void
Link::SetBounds(MemoryBudget* aMemory, int aSocketBufferBytes)
{
  socketBufferBytes_ = aSocketBufferBytes;
  if (aMemory != nullptr && aMemory->Limited()) {
    held_.emplace(*aMemory, MemoryHolder::PeerLinks);
  } else {
    held_.reset();
  }
}

void
Link::UpdateHeld()
{
  if (held_) {
    held_->Set(state_ == LinkState::Closed ? 0 : queuedBytes_ + output_.capacity() + input_.size());
  }
}

void
Link::BindSource(const std::string& aSourceIp, const asio::ip::address& aTo)
{
  error_code error;
  const auto source = asio::ip::make_address(aSourceIp, error);
  // 0.0.0.0 leaves the choice to the system, and the families must agree.
  if (error || source.is_unspecified() || source.is_v4() != aTo.is_v4()) {
    return;
  }
  const asio::ip::tcp::endpoint endpoint(source, 0);
  socket_.open(endpoint.protocol(), error);
#ifdef IP_BIND_ADDRESS_NO_PORT
  // The port is chosen at connect, so that it need not be unique for the source address alone.
  const int lateBind = 1;
  ::setsockopt(
    socket_.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &lateBind, sizeof(lateBind));
#endif
  socket_.bind(endpoint, error);
}

void
Link::Connect(const Address& aAddress, std::string aExpectedId, const std::string& aSourceIp)
{
  expectedId_ = std::move(aExpectedId);
  error_code error;
  const auto ip = asio::ip::make_address(aAddress.ip_, error);
  if (error) {
    // Posted, because the caller still prepares what OnClosed ends.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->Close("address_invalid"); });
    return;
  }
  if (!aSourceIp.empty()) {
    BindSource(aSourceIp, ip);
  }
  socket_.async_connect({ ip, aAddress.port_ }, [self = shared_from_this()](error_code aError) {
    if (aError) {
      self->Close("connect_failed");
      return;
    }
    self->SetOptions();
    self->SendHandshake(self->handshake_.Hello(), [self] {
      self->ReadHandshake([self](std::string_view aChallenge) {
        const auto proof = self->handshake_.AnswerChallenge(aChallenge);
        if (!proof) {
          self->Close("authentication_failed");
        } else if (!self->expectedId_.empty() && self->Peer().id_ != self->expectedId_) {
          self->Close(kUnexpectedInstance);
        } else {
          self->SendHandshake(*proof, [self] { self->Establish(); });
        }
      });
    });
  });
}

void
Link::Accept()
{
  inbound_ = true;
  SetOptions();
  ReadHandshake([self = shared_from_this()](std::string_view aHello) {
    const auto challenge = self->handshake_.AnswerHello(aHello);
    if (!challenge) {
      self->Close("bad_handshake");
      return;
    }
    self->SendHandshake(*challenge, [self] {
      self->ReadHandshake([self](std::string_view aProof) {
        if (self->handshake_.VerifyProof(aProof)) {
          self->Establish();
        } else {
          self->Close("authentication_failed");
        }
      });
    });
  });
}

void
Link::SetOptions()
{
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket_.set_option(UserTimeout(kTcpUserTimeoutMs), ignored);
  SetSocketBuffers(socket_, socketBufferBytes_);
}

void
Link::SendHandshake(std::string_view aText, std::function<void()> aNext)
{
  const auto length = static_cast<std::uint32_t>(aText.size());
  output_.assign(reinterpret_cast<const char*>(&length), sizeof(length));
  output_.append(aText);
  asio::async_write(
    socket_,
    asio::buffer(output_),
    [self = shared_from_this(), next = std::move(aNext)](error_code aError, std::size_t) {
      if (aError) {
        self->Close("handshake_write_failed");
      } else if (self->state_ != LinkState::Closed) {
        next();
      }
    });
}

void
Link::ReadHandshake(std::function<void(std::string_view)> aNext)
{
  handshakeBuffer_.resize(kFrameLengthBytes);
  asio::async_read(
    socket_,
    asio::buffer(handshakeBuffer_),
    [self = shared_from_this(), next = std::move(aNext)](error_code aError, std::size_t) mutable {
      std::uint32_t length = 0;
      std::memcpy(&length, self->handshakeBuffer_.data(), sizeof(length));
      if (aError || length > kMaxHandshakeBytes) {
        self->Close(aError ? "handshake_read_failed" : "bad_handshake");
        return;
      }
      self->handshakeBuffer_.resize(length);
      asio::async_read(self->socket_,
                       asio::buffer(self->handshakeBuffer_),
                       [self, next = std::move(next)](error_code aInner, std::size_t) {
                         if (aInner) {
                           self->Close("handshake_read_failed");
                         } else if (self->state_ != LinkState::Closed) {
                           next(self->handshakeBuffer_);
                         }
                       });
    });
}

void
Link::Establish()
{
  const auto keys = handshake_.Keys();
  const auto additions = handshake_.Additions();
  encoder_.emplace(inbound_ ? keys.fromAcceptor_ : keys.fromInitiator_, additions);
  decoder_.emplace(inbound_ ? keys.fromInitiator_ : keys.fromAcceptor_, additions);
  state_ = LinkState::Established;
  lastReceived_ = clock_.Now();
  input_.resize(kReadBufferBytes);
  UpdateHeld();
  observer_.OnEstablished(shared_from_this());
  Read();
  ScheduleFlush();
}

void
Link::Read()
{
  socket_.async_read_some(
    asio::buffer(input_), [self = shared_from_this()](error_code aError, std::size_t aSize) {
      if (self->state_ == LinkState::Closed) {
        return;
      }
      if (aError) {
        self->Close(aError == asio::error::eof ? "closed_by_peer" : "read_failed");
        return;
      }
      const auto now = self->clock_.Now();
      self->lastReceived_ = now;
      auto messages = self->decoder_->Feed({ self->input_.data(), aSize }, now);
      if (!messages) {
        self->Close(ToText(messages.error()));
        return;
      }
      if (self->decoder_->LongestDelay() >= kReportedDelay) {
        self->observer_.OnDelayed(self, self->decoder_->LongestDelay());
      }
      for (auto& message : *messages) {
        self->observer_.OnMessage(self, std::move(message));
      }
      if (self->state_ != LinkState::Closed) {
        self->Read();
      }
    });
}

void
Link::Send(LinkMessage&& aMessage)
{
  if (state_ != LinkState::Closed) {
    queuedBytes_ += BytesOf(aMessage);
    queue_.push_back(std::move(aMessage));
    UpdateHeld();
    ScheduleFlush();
  }
}

void
Link::ScheduleFlush()
{
  if (flushScheduled_ || writing_ || state_ != LinkState::Established || queue_.empty()) {
    return;
  }
  // Posted, so that all messages of this turn of the event loop share one write.
  flushScheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flushScheduled_ = false;
    self->Flush();
  });
}

void
Link::Flush()
{
  if (writing_ || state_ != LinkState::Established || queue_.empty()) {
    return;
  }
  writing_ = true;
  batch_.swap(queue_);
  for (const auto& message : batch_) {
    observer_.OnWriting(shared_from_this(), message);
  }
  output_.clear();
  encoder_->Encode(batch_, clock_.Now(), output_);
  batch_.clear();
  queuedBytes_ = 0;
  UpdateHeld();
  asio::async_write(
    socket_, asio::buffer(output_), [self = shared_from_this()](error_code aError, std::size_t) {
      self->writing_ = false;
      if (aError) {
        self->Close("write_failed");
        return;
      }
      if (self->held_ && self->output_.capacity() > kKeptBytes) {
        // An assignment would keep the capacity.
        std::string().swap(self->output_);
        self->UpdateHeld();
      }
      self->Flush();
      if (!self->Writes()) {
        self->observer_.OnWritten();
      }
    });
}

void
Link::Close(std::string_view aReason)
{
  if (state_ == LinkState::Closed) {
    return;
  }
  state_ = LinkState::Closed;
  queue_.clear();
  queuedBytes_ = 0;
  UpdateHeld();
  error_code ignored;
  socket_.close(ignored);
  observer_.OnClosed(shared_from_this(), aReason);
}

} // namespace redwing
