#include "intake/CallerConnection.hpp"

#include "core/SocketBuffers.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"
#include "intake/MemoryGuard.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace redwing::Detail {

namespace {

/// No further request is begun while this many response bytes wait for a slow caller.
constexpr std::size_t kMaxBacklogBytes = kBodyWindowBytes;
/// Time for a caller to read the last response before the connection is closed for good.
constexpr Duration kLinger = std::chrono::seconds(1);
/// Interval at which a connection that will be reset is checked for undelivered responses.
constexpr Duration kDeliveryPoll = std::chrono::milliseconds(10);
/// Buffers of the system for one connection, where memory is limited. The system doubles them for
/// its own use. They fill a link of 100 Mbit/s with a round trip of 2.5 ms.
constexpr int kSocketBufferBytes = 32 * 1024;

bool
HasObsFold(std::string_view aHead)
{
  return aHead.find("\n ") != std::string_view::npos ||
         aHead.find("\n\t") != std::string_view::npos;
}

} // namespace

CallerConnection::CallerConnection(IntakeCore& aCore,
                                   boost::asio::ip::tcp::socket aSocket,
                                   OnClosed aOnClosed)
  : core_(aCore)
  , socket_(std::move(aSocket))
  , onClosed_(std::move(aOnClosed))
  , buffer_(kFirstBufferBytes)
  , lastRead_(aCore.Now())
  , lastWrite_(lastRead_)
  , headSince_(lastRead_)
  , resetTimer_(socket_.get_executor())
  , held_(aCore.Memory(), MemoryHolder::CallerConnections)
  , responses_(aCore.Memory(), MemoryHolder::Responses)
{
  UpdateHeld();
}

CallerConnection::~CallerConnection() = default;

void
CallerConnection::Start()
{
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  SetSocketBuffers(socket_, core_.Memory().Limited() ? kSocketBufferBytes : 0);
  ReadMore();
}

void
CallerConnection::Close()
{
  if (closed_) {
    return;
  }
  const auto self = shared_from_this();
  const IntakeCore::Scope scope(core_);
  closed_ = true;
  DropSlots();
  // A handler may keep this object for longer than the budget lives.
  held_.Set(0);
  responses_.Set(0);
  resetTimer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  onClosed_(*this);
}

void
CallerConnection::CloseAfterResponses()
{
  if (closed_ || closing_) {
    return;
  }
  const auto self = shared_from_this();
  const IntakeCore::Scope scope(core_);
  if (!slots_.empty() && !DiscardFrontResponse()) {
    AbortFrontResponse();
    return;
  }
  DropSlots();
  if (!writing_ && UnacknowledgedBytes(socket_) == 0) {
    Close();
  } else {
    BeginClosing();
  }
}

void
CallerConnection::DropSlots()
{
  for (auto& slot : slots_) {
    slot->exchange_->OnCallerGone();
  }
  while (!slots_.empty()) {
    core_.Retire(std::move(slots_.front()));
    slots_.pop_front();
  }
}

void
CallerConnection::Sweep(TimePoint aNow)
{
  const CallerBounds& bounds = core_.Bounds();
  const Duration sinceRead = aNow - lastRead_;
  const Duration sinceWrite = aNow - lastWrite_;
  if (closing_ && !writing_) {
    // Closing would discard what the caller's system has not acknowledged if more input came.
    const std::size_t unacknowledged = UnacknowledgedBytes(socket_);
    if (std::exchange(unacknowledged_, unacknowledged) > unacknowledged) {
      lastWrite_ = aNow;
    }
    if (sinceWrite > (unacknowledged == 0 ? kLinger : Duration(bounds.progressTimeout_))) {
      Close();
    }
    return;
  }
  const bool writeStalled = writing_ && sinceWrite > bounds.progressTimeout_;
  // A body that waits for earlier responses is not read.
  const bool bodyStalled = !slots_.empty() && slots_.back()->begun_ && !slots_.back()->bodyDone_ &&
                           slots_.back()->exchange_->WantsBody() && !bodyWaits_ &&
                           aNow - BodySilentSince() > bounds.progressTimeout_;
  const bool headStalled =
    slots_.empty() && begin_ != end_ &&
    (bounds.headerTimeout_.count() > 0 ? aNow - headSince_ > bounds.headerTimeout_
                                       : sinceRead > bounds.progressTimeout_);
  const bool idle =
    slots_.empty() && !writing_ && std::min(sinceRead, sinceWrite) > bounds.idleTimeout_;
  if (headStalled && headWaits_) {
    RefuseHead();
    return;
  }
  if (writeStalled || bodyStalled || headStalled) {
    core_.Guard().Report(MemoryAction::TimedOut,
                         writeStalled ? "a response was not read"
                                      : "a request stopped before its end");
  }
  if (writeStalled || idle) {
    Close();
  } else if (bodyStalled || headStalled) {
    CloseAfterResponses();
  }
}

void
CallerConnection::CloseIfIdle()
{
  if (slots_.empty() && begin_ == end_ && !writing_) {
    BeginClosing();
  }
}

bool
CallerConnection::IsFront(const CallerSlot& aSlot) const
{
  return !slots_.empty() && slots_.front().get() == &aSlot;
}

bool
CallerConnection::IsLast(const CallerSlot& aSlot) const
{
  return !slots_.empty() && slots_.back().get() == &aSlot;
}

void
CallerConnection::Flush(std::size_t aBodyBytes)
{
  outBody_ += aBodyBytes;
  Write();
  UpdateHeld();
}

void
CallerConnection::EndFrontResponse()
{
  outBody_ = 0;
  inFlightBody_ = 0;
  Pump();
}

void
CallerConnection::BeginFrontResponse()
{
  frontBegins_ = takenBytes_ + out_.size();
}

bool
CallerConnection::DiscardFrontResponse()
{
  if (takenBytes_ > frontBegins_) {
    return false;
  }
  out_.resize(static_cast<std::size_t>(frontBegins_ - takenBytes_));
  outBody_ = 0;
  return true;
}

bool
CallerConnection::EarlierResponsesDelivered()
{
  return frontBegins_ + UnacknowledgedBytes(socket_) <= writtenBytes_;
}

void
CallerConnection::AbortFrontResponse()
{
  if (closed_ || closing_) {
    return;
  }
  const auto self = shared_from_this();
  const IntakeCore::Scope scope(core_);
  DiscardFrontResponse();
  DropSlots();
  resetting_ = true;
  if (EarlierResponsesDelivered()) {
    Reset();
    return;
  }
  BeginClosing();
  AwaitReset(0, core_.Now());
}

void
CallerConnection::AwaitReset(std::size_t aUndelivered, TimePoint aSince)
{
  resetTimer_.expires_after(kDeliveryPoll);
  resetTimer_.async_wait([self = shared_from_this(), aUndelivered, aSince](
                           const boost::system::error_code& aError) {
    if (aError || self->closed_) {
      return;
    }
    const TimePoint now = self->core_.Now();
    const auto unwritten = static_cast<std::size_t>(self->takenBytes_ - self->writtenBytes_);
    const std::size_t undelivered =
      self->out_.size() + unwritten + UnacknowledgedBytes(self->socket_);
    const TimePoint since = undelivered != aUndelivered ? now : aSince;
    if (self->EarlierResponsesDelivered() || now - since > self->core_.Bounds().progressTimeout_) {
      self->Reset();
    } else {
      self->AwaitReset(undelivered, since);
    }
  });
}

void
CallerConnection::Reset()
{
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void
CallerConnection::Pump()
{
  if (pumping_) {
    pumpAgain_ = true;
    return;
  }
  const auto self = shared_from_this();
  const IntakeCore::Scope scope(core_);
  pumping_ = true;
  do {
    pumpAgain_ = false;
    while (Step()) {
    }
  } while (pumpAgain_);
  pumping_ = false;
  ReadMore();
  UpdateHeld();
}

bool
CallerConnection::Step()
{
  if (closed_ || closing_) {
    return false;
  }
  if (!slots_.empty() && slots_.front()->responseDone_) {
    return NextRequest();
  }
  if (slots_.empty() || slots_.back()->bodyDone_) {
    return MayParseHead() && ParseHead();
  }
  CallerSlot& last = *slots_.back();
  return last.begun_ && last.exchange_->WantsBody() && MayHoldBody() && ParseBody();
}

bool
CallerConnection::NextRequest()
{
  const bool keep = slots_.front()->exchange_->KeepsConnection();
  core_.Retire(std::move(slots_.front()));
  slots_.pop_front();
  if (!keep) {
    // The caller sends the requests behind a closing response again.
    DropSlots();
    BeginClosing();
    return false;
  }
  BeginFrontResponse();
  if (slots_.empty()) {
    return true;
  }
  CallerSlot& front = *slots_.front();
  if (!front.begun_) {
    Begin(front);
    return true;
  }
  out_.append(front.waiting_);
  front.waiting_.clear();
  Flush(std::exchange(front.waitingBody_, 0));
  return true;
}

bool
CallerConnection::MayParseHead() const
{
  if (out_.size() > kMaxBacklogBytes) {
    return false;
  }
  if (slots_.empty()) {
    return true;
  }
  if (core_.ShuttingDown()) {
    // A caller that keeps the connection filled would otherwise be served until the process ends.
    return false;
  }
  const CallerSlot& last = *slots_.back();
  // A request behind one that closes the connection would be passed on and never answered.
  return slots_.size() < core_.Settings().maxPipelined_ && last.begun_ && !last.closes_ &&
         last.parser_.keep_alive();
}

bool
CallerConnection::ParseHead()
{
  while (begin_ < end_ && (buffer_[begin_] == '\r' || buffer_[begin_] == '\n')) {
    Consume(1);
    scanned_ = 0;
  }
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::string_view unread = Unread();
  const std::size_t end = unread.find(kEnd, scanned_);
  const std::size_t limit = core_.Bounds().headerBytes_;
  const bool tooLarge =
    end == std::string_view::npos ? unread.size() >= limit : end + kEnd.size() > limit;
  if (end == std::string_view::npos && !tooLarge) {
    scanned_ = unread.size() < kEnd.size() ? 0 : unread.size() - kEnd.size() + 1;
    headWaits_ = false;
    return false;
  }
  if (!MayHoldHead(tooLarge ? 0 : end + kEnd.size())) {
    return false;
  }
  core_.RefreshView();
  scanned_ = 0;
  const std::size_t headBytes = tooLarge ? unread.size() : end + kEnd.size();
  slots_.push_back(std::make_unique<CallerSlot>(core_, *this, Consume(headBytes)));
  headSince_ = core_.Now();
  CallerSlot& slot = *slots_.back();
  slot.first_ = std::exchange(fresh_, false);
  slot.exchange_->HoldHead(headBytes * kHeadCopies);
  if (tooLarge) {
    RejectHead(slot, "the request head is too large");
    return false;
  }
  if (HasObsFold(unread.substr(0, headBytes))) {
    RejectHead(slot, "a header is folded");
    return false;
  }
  RequestParser& parser = slot.parser_;
  parser.header_limit(static_cast<std::uint32_t>(headBytes + 1));
  parser.body_limit(boost::none);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(unread.data(), headBytes), error);
  // A head without headers leaves the parser waiting for the line end that put was given already.
  if (error || !parser.is_header_done()) {
    RejectHead(slot, "the request head is malformed");
    return false;
  }
  if (parser.ambiguousFraming_ || parser.hosts_ > 1 ||
      (parser.hosts_ == 0 && slot.SpeaksHttp11())) {
    RejectHead(slot, "the Host or framing headers are invalid");
    return false;
  }
  slot.bodyDone_ = parser.is_done();
  if (IsFront(slot) || MayOverlap(slot)) {
    Begin(slot);
  }
  return true;
}

bool
CallerConnection::MayOverlap(const CallerSlot& aSlot) const
{
  // If an earlier response closes the connection, the caller sends this request again.
  const RequestParser& parser = aSlot.parser_;
  std::string_view host;
  for (const Header& header : parser.headers_) {
    if (SameName(header.name_, "host")) {
      host = header.value_;
    }
  }
  const std::string_view target(parser.target_);
  const RouteEntry* entry =
    core_.Routes()->Match(parser.method_, target.substr(0, target.find('?')), HostName(host));
  return aSlot.bodyDone_ && (entry == nullptr || entry->route_->idempotent_);
}

void
CallerConnection::Begin(CallerSlot& aSlot)
{
  RequestParser& parser = aSlot.parser_;
  std::optional<std::uint64_t> length;
  if (const auto known = parser.content_length()) {
    length = *known;
  }
  aSlot.begun_ = true;
  aSlot.exchange_->Begin(std::move(parser.method_),
                         std::move(parser.target_),
                         std::move(parser.headers_),
                         length,
                         aSlot.bodyDone_);
}

void
CallerConnection::RejectHead(CallerSlot& aSlot, const char* aFault)
{
  aSlot.begun_ = true;
  aSlot.bodyDone_ = false;
  aSlot.exchange_->Reject(aFault);
}

bool
CallerConnection::ParseBody()
{
  if (begin_ == end_) {
    return false;
  }
  CallerSlot& slot = *slots_.back();
  boost::system::error_code error;
  std::size_t used = 0;
  std::size_t taken = 0;
  // The parser takes one chunk a call; all chunks of a read are passed on together.
  do {
    taken = slot.parser_.put(boost::asio::buffer(Unread().data(), Unread().size()), error);
    Consume(taken);
    used += taken;
  } while (!error && taken > 0 && begin_ != end_ && !slot.parser_.is_done());
  const bool full = end_ - begin_ >= MaxBufferBytes();
  if (error == boost::beast::http::error::need_more && !full) {
    error = {};
  }
  if (error) {
    slot.exchange_->OnMalformedBody();
    return false;
  }
  slot.bodyDone_ = slot.parser_.is_done();
  if (!slot.parser_.body_.empty() || slot.bodyDone_) {
    std::string body;
    body.swap(slot.parser_.body_);
    slot.exchange_->OnBody(std::move(body), slot.bodyDone_);
  }
  return used > 0;
}

TimePoint
CallerConnection::Consume(std::size_t aBytes)
{
  begin_ += aBytes;
  return arrivals_.Consume(aBytes);
}

} // namespace redwing::Detail
