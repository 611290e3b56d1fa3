#pragma once

#include "core/Clock.hpp"
#include "core/MemoryBudget.hpp"
#include "intake/ArrivalTimes.hpp"
#include "intake/CallerSlot.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwing::Detail {

class IntakeCore;

/// One connection of a caller. Idempotent requests on it may be served at the same time; any other
/// request is begun once the earlier responses are complete. Bytes of requests that were not begun
/// wait in a bounded buffer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  /// Bytes that a connection holds without its buffer.
  static constexpr std::size_t kFirstBytes = 4 * 1024;

  using OnClosed = std::function<void(CallerConnection&)>;

  CallerConnection(IntakeCore& aCore, boost::asio::ip::tcp::socket aSocket, OnClosed aOnClosed);
  ~CallerConnection();

  /// Starts reading.
  ///
  /// Preconditions: called once. Thread safety: intake thread only, like all functions here.
  void Start();

  /// Closes at once, cancels requests in progress and drops responses that were not sent.
  void Close();

  /// Cancels requests in progress and closes the connection once complete responses that were begun
  /// before have been delivered.
  void CloseAfterResponses();

  /// Enforces the time limits; called about once a second.
  void Sweep(TimePoint aNow);

  /// Closes the connection unless a request is being served or has begun to arrive.
  void CloseIfIdle();

  /// Goes on with what waited for memory, or refuses a request that has waited too long.
  void ResumeReading(TimePoint aNow);

  /// Returns the bytes held for the connection and its requests.
  std::size_t BytesHeld() const;
  /// Returns the bytes held for a body that has not arrived to its end; 0 if there is none.
  std::size_t BodyBytesHeld() const;
  /// Returns since when the present body could have come and did not. While it waited for memory it
  /// was not read, which is not its caller's doing.
  TimePoint BodySilentSince() const { return std::max(lastRead_, bodySince_); }
  TimePoint LastTransfer() const { return std::max(lastRead_, lastWrite_); }
  /// Returns whether nothing is served or being written, and the connection is not about to end;
  /// one that only waits for its caller to read counts.
  bool HasNoRequest() const
  {
    return slots_.empty() && !writing_ && (!closing_ || unacknowledged_ > 0);
  }
  /// Returns the bytes a second at which the body that is being received has come so far; nothing
  /// if there is none, or it began too short a time ago.
  std::optional<double> BodyRate(TimePoint aNow) const;
  /// Returns whether nothing was received yet.
  bool IsFresh() const { return fresh_ && begin_ == end_; }

private:
  friend class CallerSlot;

  static constexpr std::size_t kFirstBufferBytes = 4 * 1024;
  static constexpr std::size_t kMaxBufferBytes = 32 * 1024;
  /// A head is held as parsed, as sent to the serving instance and as received there.
  static constexpr std::size_t kHeadCopies = 3;

  void Pump();
  bool Step();
  bool NextRequest();
  bool MayParseHead() const;
  bool ParseHead();
  bool ParseBody();
  void Begin(CallerSlot& aSlot);
  bool MayOverlap(const CallerSlot& aSlot) const;
  void RejectHead(CallerSlot& aSlot, const char* aFault);
  bool IsFront(const CallerSlot& aSlot) const;
  bool IsLast(const CallerSlot& aSlot) const;
  void Flush(std::size_t aBodyBytes);
  void EndFrontResponse();
  /// Resets the connection once the responses before the front one have been delivered.
  void AbortFrontResponse();
  /// Discards the response of the front request unless a byte of it was passed to the system;
  /// returns whether it did.
  bool DiscardFrontResponse();
  /// Returns whether the caller's system has acknowledged the responses before the front one.
  bool EarlierResponsesDelivered();
  /// Resets the connection when the earlier responses were delivered, or stopped to be.
  void AwaitReset(std::size_t aUndelivered, TimePoint aSince);
  void Reset();
  /// Notes that the response of the front request begins at the present end of the output.
  void BeginFrontResponse();
  void DropSlots();
  void ReadMore();
  /// Closes the connection if its caller has closed it, even if that was not read yet; returns
  /// whether it did.
  bool CloseIfCallerLeft();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  bool MakeRoom();
  std::size_t MaxBufferBytes() const;
  /// Returns whether a request with a head of aBytes may be held; otherwise the connection waits.
  bool MayHoldHead(std::size_t aBytes);
  /// Refuses the request whose head waits for memory.
  void RefuseHead();
  /// Returns whether the body that is being received may be held; otherwise the connection waits.
  bool MayHoldBody();
  void WaitForMemory();
  /// Gives back buffers that grew and reports the bytes that are held.
  void UpdateHeld();
  /// Takes aBytes from the front of the buffer; returns when they had arrived.
  TimePoint Consume(std::size_t aBytes);
  void Write();
  /// Writes inFlight_ from aSent on.
  void WriteRest(std::size_t aSent);
  void OnWritten(const boost::system::error_code& aError);
  void BeginClosing();
  /// Ends the output of a closing connection once all of it was written, unless it will be reset.
  void ShutDownSending();
  std::string_view Unread() const { return { buffer_.data() + begin_, end_ - begin_ }; }

  IntakeCore& core_;
  boost::asio::ip::tcp::socket socket_;
  OnClosed onClosed_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::size_t scanned_ = 0;
  ArrivalTimes arrivals_;
  /// Requests in the order of their arrival.
  std::deque<std::unique_ptr<CallerSlot>> slots_;
  /// No request was read yet.
  bool fresh_ = true;
  bool pumping_ = false;
  bool pumpAgain_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool closing_ = false;
  /// Ends by a reset; nothing follows the bytes in out_.
  bool resetting_ = false;
  bool closed_ = false;
  std::string out_;
  std::string inFlight_;
  /// Output bytes that were taken from out_ so far, and those of them that the system has taken.
  std::uint64_t takenBytes_ = 0;
  std::uint64_t writtenBytes_ = 0;
  /// Number of output bytes before the response of the front request.
  std::uint64_t frontBegins_ = 0;
  std::size_t outBody_ = 0;
  std::size_t inFlightBody_ = 0;
  TimePoint lastRead_;
  TimePoint lastWrite_;
  /// When the first byte of the present head arrived.
  TimePoint headSince_;
  /// When the memory of the present body was reserved.
  TimePoint bodySince_{};
  /// Since when a body waits for memory; only while it does.
  std::optional<TimePoint> bodyWaits_;
  /// The present head waits for memory.
  bool headWaits_ = false;
  /// The guard will call ResumeReading.
  bool awaitsResume_ = false;
  /// Bytes that the caller's system had not acknowledged at the last sweep of a closing connection.
  std::size_t unacknowledged_ = 0;
  boost::asio::steady_timer resetTimer_;
  HeldMemory held_;
  HeldMemory responses_;
};

} // namespace redwing::Detail
