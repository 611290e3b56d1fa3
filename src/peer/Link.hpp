#pragma once

#include "core/Address.hpp"
#include "core/Clock.hpp"
#include "core/MemoryBudget.hpp"
#include "peer/FrameCodec.hpp"
#include "peer/Handshake.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

/// Reason of a close: another instance than the expected one answered at the address.
constexpr std::string_view kUnexpectedInstance = "unexpected_instance";

enum class LinkState : std::uint8_t
{
  Connecting,
  Established,
  Closed,
};

class Link;

/// Receiver of what happens on a link; all calls come from the peer thread.
class LinkObserver
{
public:
  virtual ~LinkObserver() = default;
  virtual void OnEstablished(const std::shared_ptr<Link>& aLink) = 0;
  virtual void OnMessage(const std::shared_ptr<Link>& aLink, LinkMessage&& aMessage) = 0;
  /// aMessage is about to be handed to the socket.
  virtual void OnWriting(const std::shared_ptr<Link>& aLink, const LinkMessage& aMessage) = 0;
  /// Frames arrived that were on their way aDelay longer than the fastest recent one.
  virtual void OnDelayed(const std::shared_ptr<Link>& aLink, Duration aDelay) = 0;
  /// All messages that were sent on the link have been passed to the system.
  virtual void OnWritten() = 0;
  virtual void OnClosed(const std::shared_ptr<Link>& aLink, std::string_view aReason) = 0;
};

/// One TCP connection to another instance: handshake, frames, batched writes. All methods belong to
/// the peer thread.
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(boost::asio::ip::tcp::socket aSocket,
       std::uint64_t aId,
       Handshake aHandshake,
       const Clock& aClock,
       LinkObserver& aObserver);

  /// Accounts for what waits on the link, and bounds what the system holds for it; aMemory may be
  /// null and outlives the link otherwise, and 0 bytes leave it to the system.
  ///
  /// Preconditions: before Connect and Accept, or with null before aMemory ends. Thread safety:
  /// peer thread only.
  void SetBounds(MemoryBudget* aMemory, int aSocketBufferBytes);

  /// Connects as the initiator, from aSourceIp unless that is empty; aExpectedId is empty when any
  /// instance may answer.
  ///
  /// Preconditions: called once, and not Accept. Thread safety: peer thread only.
  void Connect(const Address& aAddress, std::string aExpectedId, const std::string& aSourceIp = {});

  /// Runs the acceptor's side on a connected socket.
  ///
  /// Preconditions: called once, and not Connect. Thread safety: peer thread only.
  void Accept();

  /// Queues aMessage; it goes out with all others that are queued by then.
  ///
  /// Preconditions: none. Thread safety: peer thread only.
  void Send(LinkMessage&& aMessage);

  /// Closes the socket; the observer is told once.
  ///
  /// Preconditions: none. Thread safety: peer thread only.
  void Close(std::string_view aReason);

  /// Returns whether messages are queued or being written on an established link.
  bool Writes() const { return state_ == LinkState::Established && (writing_ || !queue_.empty()); }

  std::uint64_t Id() const { return id_; }
  bool Inbound() const { return inbound_; }
  LinkState State() const { return state_; }
  const InstanceRef& Peer() const { return handshake_.Peer(); }
  const std::string& ExpectedId() const { return expectedId_; }
  TimePoint LastReceived() const { return lastReceived_; }
  /// Returns whether bytes have arrived that were not read yet.
  bool HasUnread() const
  {
    boost::system::error_code ignored;
    return socket_.available(ignored) > 0;
  }
  TimePoint Started() const { return started_; }

  /// Starts the progress time-out anew, for instance after this process itself was paused.
  ///
  /// Preconditions: none. Thread safety: peer thread only.
  void ResetProgress(TimePoint aNow) { lastReceived_ = aNow; }

private:
  static constexpr std::size_t kReadBufferBytes = 32 * 1024;

  /// Binds the socket to an address before it connects; without effect when that is not possible.
  void BindSource(const std::string& aSourceIp, const boost::asio::ip::address& aTo);
  void SetOptions();
  void ReadHandshake(std::function<void(std::string_view)> aNext);
  void SendHandshake(std::string_view aText, std::function<void()> aNext);
  void Establish();
  void Read();
  void ScheduleFlush();
  void UpdateHeld();
  void Flush();

  boost::asio::ip::tcp::socket socket_;
  std::uint64_t id_;
  Handshake handshake_;
  const Clock& clock_;
  LinkObserver& observer_;
  bool inbound_ = false;
  LinkState state_ = LinkState::Connecting;
  std::string expectedId_;
  TimePoint started_;
  TimePoint lastReceived_;
  std::optional<FrameEncoder> encoder_;
  std::optional<FrameDecoder> decoder_;
  std::vector<LinkMessage> queue_;
  std::size_t queuedBytes_ = 0;
  std::optional<HeldMemory> held_;
  int socketBufferBytes_ = 0;
  std::vector<LinkMessage> batch_;
  std::string output_;
  std::string handshakeBuffer_;
  std::vector<char> input_;
  bool writing_ = false;
  bool flushScheduled_ = false;
};

} // namespace redwing
