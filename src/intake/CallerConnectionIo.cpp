// Part of CallerConnection: reads, writes and the end of the connection.

#include "intake/CallerConnection.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"
#include "intake/ReceiveState.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace redwing::Detail {

namespace {

/// A caller from whom bytes were read this recently was found to be there then.
constexpr Duration kRecentRead = std::chrono::milliseconds(10);

} // namespace

bool
CallerConnection::MakeRoom()
{
  if (begin_ == end_) {
    begin_ = 0;
    end_ = 0;
    const bool awaitsHead = slots_.empty() || slots_.back()->bodyDone_;
    if (awaitsHead && buffer_.size() > kFirstBufferBytes) {
      // A connection may be idle for long after a large head or body.
      std::vector<char>(kFirstBufferBytes).swap(buffer_);
    }
  }
  if (end_ < buffer_.size()) {
    return true;
  }
  if (begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
    return true;
  }
  const std::size_t most = MaxBufferBytes();
  if (buffer_.size() >= most || bodyWaits_) {
    return false;
  }
  const std::size_t larger = std::min(buffer_.size() * 2, most);
  if (!core_.Memory().Fits(larger - buffer_.size(), MemoryUse::SmallRequest)) {
    headWaits_ = headWaits_ || slots_.empty();
    WaitForMemory();
    return false;
  }
  buffer_.resize(larger);
  return true;
}

void
CallerConnection::ReadMore()
{
  if (closed_ || reading_ || !MakeRoom()) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
    boost::asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
CallerConnection::OnRead(const boost::system::error_code& aError, std::size_t aBytes)
{
  reading_ = false;
  if (closed_) {
    return;
  }
  if (aError) {
    // A caller that closes its sending side is taken to be gone.
    Close();
    return;
  }
  lastRead_ = core_.Now();
  if (closing_) {
    // Unread bytes at close would reset the connection and destroy the response on its way.
    begin_ = 0;
    end_ = 0;
    ReadMore();
    return;
  }
  const ReceiveState state = ReadReceiveState(socket_);
  if (state.closed_) {
    // The end of the connection waits unread behind these bytes.
    core_.UnreadCounter().Add();
    Close();
    return;
  }
  // Bytes in several segments are taken to have arrived with the last of them.
  if (begin_ == end_) {
    headSince_ = lastRead_;
  }
  arrivals_.Add(aBytes, lastRead_ - state.sinceLastBytes_);
  end_ += aBytes;
  Pump();
}

bool
CallerConnection::CloseIfCallerLeft()
{
  if (core_.Now() - lastRead_ < kRecentRead || !ReadReceiveState(socket_).closed_) {
    return false;
  }
  Close();
  return true;
}

void
CallerConnection::Write()
{
  if (closed_ || writing_) {
    return;
  }
  while (!out_.empty()) {
    inFlight_.clear();
    inFlight_.swap(out_);
    takenBytes_ += inFlight_.size();
    inFlightBody_ = std::exchange(outBody_, 0);
    boost::system::error_code error;
    // The socket buffer takes most responses at once, which saves a handler per response.
    const std::size_t sent = socket_.write_some(boost::asio::buffer(inFlight_), error);
    if (error && error != boost::asio::error::would_block) {
      inFlight_.clear();
      boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Close(); });
      return;
    }
    lastWrite_ = core_.Now();
    writtenBytes_ += sent;
    if (sent < inFlight_.size()) {
      writing_ = true;
      WriteRest(sent);
      return;
    }
    if (!slots_.empty() && inFlightBody_ > 0) {
      slots_.front()->exchange_->OnResponseWritten(std::exchange(inFlightBody_, 0));
    }
  }
}

void
CallerConnection::WriteRest(std::size_t aSent)
{
  // Part by part, so that a caller that reads slowly is told from one that has stopped.
  socket_.async_write_some(boost::asio::buffer(inFlight_.data() + aSent, inFlight_.size() - aSent),
                           [self = shared_from_this(),
                            aSent](const boost::system::error_code& aError, std::size_t aBytes) {
                             const std::size_t sent = aSent + aBytes;
                             self->writtenBytes_ += aBytes;
                             if (aError || self->closed_ || sent >= self->inFlight_.size()) {
                               self->OnWritten(aError);
                               return;
                             }
                             self->lastWrite_ = self->core_.Now();
                             self->WriteRest(sent);
                           });
}

void
CallerConnection::OnWritten(const boost::system::error_code& aError)
{
  writing_ = false;
  if (closed_) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  const IntakeCore::Scope scope(core_);
  lastWrite_ = core_.Now();
  if (!slots_.empty() && inFlightBody_ > 0) {
    slots_.front()->exchange_->OnResponseWritten(std::exchange(inFlightBody_, 0));
  }
  Write();
  UpdateHeld();
  if (closing_) {
    ShutDownSending();
    return;
  }
  Pump();
}

void
CallerConnection::ShutDownSending()
{
  if (!writing_ && !resetting_) {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
}

void
CallerConnection::BeginClosing()
{
  if (closing_ || closed_) {
    return;
  }
  closing_ = true;
  lastWrite_ = core_.Now();
  begin_ = 0;
  end_ = 0;
  arrivals_.Clear();
  ShutDownSending();
  ReadMore();
}

} // namespace redwing::Detail
