// Part of Exchange: the memory that the body of a request takes, and its limit.

#include "intake/CallerSlot.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"
#include "intake/MemoryGuard.hpp"

#include <algorithm>
#include <limits>

namespace redwing::Detail {

namespace {

/// Bodies up to this size use the share of small requests.
constexpr std::size_t kSmallBodyBytes = 32 * 1024;
/// A window of body bytes on its way to the server is held by sender and receiver.
constexpr std::size_t kWindows = 2 * kBodyWindowBytes;

} // namespace

std::size_t
Exchange::BodyBytesNeeded() const
{
  const std::size_t buffered = core_.Settings().bufferedBodyBytes_;
  const std::uint64_t length = contentLength_.value_or(std::numeric_limits<std::uint64_t>::max());
  if (length > buffered) {
    return buffered + kWindows;
  }
  const auto bytes = static_cast<std::size_t>(length);
  return bytes + std::min(bytes, kWindows);
}

bool
Exchange::ReserveBody()
{
  if (bodyReserved_ || !core_.Memory().Limited()) {
    return true;
  }
  const std::size_t bytes = BodyBytesNeeded();
  const MemoryUse use = bytes <= kSmallBodyBytes ? MemoryUse::SmallRequest : MemoryUse::LargeBody;
  if (!bodyHeld_.TrySet(bytes, use)) {
    return false;
  }
  bodyReserved_ = true;
  if (bytes > kSmallBodyBytes) {
    // A text that grows doubles its capacity and holds both copies meanwhile.
    const std::size_t most = core_.Settings().bufferedBodyBytes_ + kMaxChunkBytes;
    pending_.reserve(
      static_cast<std::size_t>(std::min<std::uint64_t>(contentLength_.value_or(most), most)));
  }
  return true;
}

void
Exchange::ReduceReservation()
{
  if (!bodyReserved_ || !bodySent_) {
    return;
  }
  if (responding_ || streamed_) {
    // The request is not sent again. An assignment would keep the capacity.
    std::string().swap(pending_);
    std::string().swap(start_.body_);
  }
  // A body that was sent with its head gets no credit; the response shows that it was taken.
  const bool credited = streamed_ || deferred_;
  const std::size_t onItsWay =
    responding_ && !credited ? 0 : std::min(2 * requestOutstanding_, kWindows);
  bodyHeld_.Set(
    std::min(bodyHeld_.Bytes(), pending_.capacity() + start_.body_.capacity() + onItsWay));
}

void
Exchange::RefuseForMemory()
{
  Refuse(ErrorCode::Overloaded, "there is no memory for the request");
}

void
Exchange::EndTooLarge()
{
  if (finished_) {
    return;
  }
  core_.Guard().Report(MemoryAction::BodyTooLarge, "a request body is too large");
  if (!responding_ && attempts_.empty() && unknownCount_ == 0) {
    Refuse(ErrorCode::BodyTooLarge, "the request body is too large");
    return;
  }
  // Part of the request was passed on, so that no status may say that it never runs.
  AbortResponse();
}

} // namespace redwing::Detail
