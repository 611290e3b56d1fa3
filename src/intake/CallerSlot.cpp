#include "intake/CallerSlot.hpp"

#include "intake/CallerConnection.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"

namespace redwing::Detail {

namespace {

/// Beast's number for HTTP/1.0.
constexpr int kHttp10 = 10;

} // namespace

CallerSlot::CallerSlot(IntakeCore& aCore, CallerConnection& aConnection, TimePoint aArrived)
  : connection_(aConnection)
  , exchange_(std::make_unique<Exchange>(aCore, *this, aArrived))
{
}

CallerSlot::~CallerSlot() = default;

std::string&
CallerSlot::Out()
{
  return connection_.IsFront(*this) ? connection_.out_ : waiting_;
}

void
CallerSlot::Flush(std::size_t aBodyBytes)
{
  if (connection_.IsFront(*this)) {
    connection_.Flush(aBodyBytes);
  } else {
    waitingBody_ += aBodyBytes;
    connection_.UpdateHeld();
  }
}

void
CallerSlot::EndResponse()
{
  responseDone_ = true;
  if (connection_.IsFront(*this)) {
    connection_.EndFrontResponse();
  }
}

bool
CallerSlot::DiscardResponse()
{
  if (connection_.IsFront(*this)) {
    return connection_.DiscardFrontResponse();
  }
  std::string().swap(waiting_);
  waitingBody_ = 0;
  connection_.UpdateHeld();
  return true;
}

void
CallerSlot::AbortResponse()
{
  connection_.AbortFrontResponse();
}

bool
CallerSlot::CallerLeft()
{
  return connection_.CloseIfCallerLeft();
}

void
CallerSlot::ResumeBody()
{
  connection_.Pump();
}

bool
CallerSlot::KeepsAlive()
{
  // During a shutdown the connection ends after the last request that was begun.
  const bool mayEnd = connection_.core_.ShuttingDown() && connection_.IsLast(*this);
  closes_ =
    !bodyDone_ || !parser_.is_header_done() || !parser_.keep_alive() || !SpeaksHttp11() || mayEnd;
  return !closes_;
}

bool
CallerSlot::SpeaksHttp11() const
{
  return parser_.version_ > kHttp10;
}

} // namespace redwing::Detail
