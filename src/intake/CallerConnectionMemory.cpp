// Part of CallerConnection: the memory that it holds.

#include "intake/CallerConnection.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"
#include "intake/MemoryGuard.hpp"

#include <algorithm>
#include <chrono>

namespace redwing::Detail {

namespace {

/// Time for which a body waits for memory before its request is refused, which is less than callers
/// wait for a response.
constexpr Duration kLongestWait = std::chrono::seconds(2);
/// Rates of younger bodies are not judged, since a few late packets would decide.
constexpr Duration kRatedBody = std::chrono::seconds(2);
/// Buffers of responses above this size are given back once they were written.
constexpr std::size_t kKeptBytes = 16 * 1024;
/// What the system may hold unread, or not yet acknowledged, for one connection.
constexpr std::size_t kSystemBytes = 32 * 1024;

void
GiveBack(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kKeptBytes) {
    // An assignment would keep the capacity.
    std::string().swap(aBuffer);
  }
}

} // namespace

std::size_t
CallerConnection::MaxBufferBytes() const
{
  return std::max(kMaxBufferBytes, core_.Bounds().headerBytes_);
}

bool
CallerConnection::MayHoldHead(std::size_t aBytes)
{
  // A request that is served alone is never held up.
  const bool alone = slots_.empty() && core_.ExchangeCount() == 0;
  headWaits_ = !alone && !core_.Memory().Fits(aBytes * kHeadCopies, MemoryUse::SmallRequest);
  if (headWaits_) {
    WaitForMemory();
  }
  return !headWaits_;
}

void
CallerConnection::RefuseHead()
{
  const IntakeCore::Scope scope(core_);
  headWaits_ = false;
  slots_.push_back(std::make_unique<CallerSlot>(core_, *this, Consume(end_ - begin_)));
  CallerSlot& slot = *slots_.back();
  slot.begun_ = true;
  slot.bodyDone_ = false;
  core_.Guard().Report(MemoryAction::RequestRefused, "a head waited too long for memory");
  slot.exchange_->RefuseForMemory();
}

bool
CallerConnection::MayHoldBody()
{
  Exchange& exchange = *slots_.back()->exchange_;
  const bool reserved = exchange.BodyBytesHeld() > 0;
  if (exchange.ReserveBody()) {
    if (!reserved) {
      // Before, the body was not read, which is not its caller's doing.
      bodySince_ = core_.Now();
    }
    bodyWaits_.reset();
    return true;
  }
  if (!bodyWaits_) {
    bodyWaits_ = core_.Now();
  }
  WaitForMemory();
  return false;
}

void
CallerConnection::WaitForMemory()
{
  if (!awaitsResume_) {
    awaitsResume_ = true;
    core_.Guard().Wait(weak_from_this());
  }
}

void
CallerConnection::ResumeReading(TimePoint aNow)
{
  awaitsResume_ = false;
  if (closed_) {
    return;
  }
  Pump();
  if (closed_ || closing_ || !bodyWaits_ || slots_.empty()) {
    return;
  }
  if (aNow - *bodyWaits_ > kLongestWait) {
    bodyWaits_.reset();
    core_.Guard().Report(MemoryAction::RequestRefused, "a body waited too long for memory");
    const IntakeCore::Scope scope(core_);
    slots_.back()->exchange_->RefuseForMemory();
  }
}

std::size_t
CallerConnection::BytesHeld() const
{
  std::size_t bytes = held_.Bytes() + responses_.Bytes();
  for (const auto& slot : slots_) {
    bytes += slot->exchange_->BytesHeld();
  }
  return bytes;
}

std::size_t
CallerConnection::BodyBytesHeld() const
{
  // A body that waits for its server is not read, so its caller has not stopped.
  const bool comes =
    !slots_.empty() && !slots_.back()->bodyDone_ && slots_.back()->exchange_->WantsBody();
  return comes ? slots_.back()->exchange_->BodyBytesHeld() : 0;
}

std::optional<double>
CallerConnection::BodyRate(TimePoint aNow) const
{
  const Duration age = aNow - bodySince_;
  if (BodyBytesHeld() == 0 || age < kRatedBody) {
    return std::nullopt;
  }
  return static_cast<double>(slots_.back()->exchange_->BodyBytesReceived()) /
         std::chrono::duration<double>(age).count();
}

void
CallerConnection::UpdateHeld()
{
  if (closed_ || !core_.Memory().Limited()) {
    return;
  }
  GiveBack(out_);
  if (!writing_) {
    inFlight_.clear();
    GiveBack(inFlight_);
  }
  // A connection that is not read may be filled by its caller.
  const std::size_t unread = reading_ || pumping_ ? 0 : kSystemBytes;
  held_.Set(kFirstBytes + buffer_.size() + unread);
  std::size_t responses = out_.capacity() + inFlight_.capacity() + (writing_ ? kSystemBytes : 0);
  for (const auto& slot : slots_) {
    responses += slot->waiting_.capacity();
  }
  responses_.Set(responses);
}

} // namespace redwing::Detail
